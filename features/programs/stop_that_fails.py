"""Run a gateway whose stop fails, and whose interpreter takes long to end."""

from gevent import monkey

monkey.patch_all()

import atexit  # noqa: E402
import os  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from kumquatseam.gateway import program  # noqa: E402
from kumquatseam.platform.__main__ import SETTINGS_VARIABLE  # noqa: E402
from kumquatseam.platform.adapter import PlatformAdapter  # noqa: E402

#: longer than any grace.
INTERPRETER_ENDS_S = 30.0


class FailingGateway(program.Gateway):
    """Closes everything, and fails then."""

    def close(self):
        super().close()
        raise gevent.Timeout(0.1)


def main():
    atexit.register(time.sleep, INTERPRETER_ENDS_S)
    program.Gateway = FailingGateway
    program.run(os.environ[SETTINGS_VARIABLE], PlatformAdapter())


if __name__ == "__main__":
    main()
