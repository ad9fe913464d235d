"""Runs a gateway that is cut off from all other gateways while a file exists.

Usage: cuttable_gateway.py FILE

Messages on the way to or from other gateways get lost: datagrams, those of the bus, and
queries with their replies.
"""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import runpy  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

from kumquatseam.peers import DatagramSocket, PeerBus, PeerQueries  # noqa: E402
from kumquatseam.peers._bus import _Subscription  # noqa: E402
from kumquatseam.request_reply import ReplyServer  # noqa: E402

CUT_FILE = Path(sys.argv[1])


def lose_while_cut(owner, name):
    """Let calls of a method that carries messages do nothing during the cut."""
    carry = getattr(owner, name)

    def carry_unless_cut(*arguments, **options):
        if not os.path.exists(CUT_FILE):
            return carry(*arguments, **options)
        return None

    setattr(owner, name, carry_unless_cut)


lose_while_cut(DatagramSocket, "send")
lose_while_cut(DatagramSocket, "_handle")
lose_while_cut(PeerBus, "publish")
lose_while_cut(_Subscription, "_handle")
lose_while_cut(PeerQueries, "query_any")
lose_while_cut(ReplyServer, "_answer")
runpy.run_module("kumquatseam.platform", run_name="__main__")
