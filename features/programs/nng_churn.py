"""A program that asks others over nng again and again, a new socket each time.

Arguments: its own port, the others' ports by commas, and for how many seconds.
"""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import attrs  # noqa: E402
import gevent  # noqa: E402

from kumquatseam.codec import MessageCodec  # noqa: E402
from kumquatseam.request_reply import ReplyServer, request_once  # noqa: E402

ASK_TIMEOUT_S = 0.5
#: greenlets that ask one other program at the same time.
ASKERS = 2


@attrs.frozen
class Ping:
    number: int


CODEC = MessageCodec("ping", {"ping": Ping})


def main(port, ports, for_s):
    ReplyServer(f"tcp://127.0.0.1:{port}", CODEC, lambda ping: ping).start()
    end_s = time.monotonic() + for_s

    def ask_again(other):
        number = 0
        while time.monotonic() < end_s:
            number += 1
            request_once(f"tcp://127.0.0.1:{other}", CODEC, Ping(number), ASK_TIMEOUT_S)

    askers = [gevent.spawn(ask_again, other) for other in ports for _ in range(ASKERS)]
    gevent.joinall(askers)
    os._exit(0)


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2].split(","), float(sys.argv[3]))
