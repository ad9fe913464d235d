"""Gateway daemon for the users' platform: ``python3 -m kumquatseam.platform``."""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402

from kumquatseam.gateway.program import run  # noqa: E402
from kumquatseam.platform.adapter import PlatformAdapter  # noqa: E402

#: environment variable with the path of the settings file.
SETTINGS_VARIABLE = "KUMQUATSEAM_SETTINGS"

if __name__ == "__main__":
    run(os.environ.get(SETTINGS_VARIABLE, ""), PlatformAdapter())
