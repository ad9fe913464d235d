"""Stop a server gracefully; loaded some seconds after a start, with all of a stop."""

import time

import gevent

from kumquatseam.gateway import _connection_end, _cut_record  # noqa: F401
from kumquatseam.gateway._stop_clock import ADMIT_WHILE_STOPPING_S
from kumquatseam.logs import part_logger

_log = part_logger("server")

#: idle connections stay open for this long after a stop was requested. The response
#: to a last request announces the close, so fewer closes race with a request.
IDLE_WHILE_STOPPING_S = 2.0
#: how long the requests that are cut at the end of a stop may take to tell it.
KILL_TIMEOUT_S = 0.1
#: seconds between checks for connections that are still open.
STOP_POLL_S = 0.05


def stop_server(server, grace_s: float) -> None:
    """Finish the requests already read, within the grace period.

    :param server: the ``GatewayServer``.
    :param grace_s: maximum duration.
    """
    started_s = time.monotonic()
    server.stop_clock.begin(started_s + grace_s)
    while server.stop_clock.left_s > 0:
        elapsed_s = time.monotonic() - started_s
        if elapsed_s > IDLE_WHILE_STOPPING_S:
            server.close_idle()
        if elapsed_s > ADMIT_WHILE_STOPPING_S:
            server.stop_accepting()
            if not server.open_greenlets:
                break
        gevent.sleep(STOP_POLL_S)
    server.stop_accepting()
    took_s = round(time.monotonic() - started_s, 2)
    _log.bind(cut=server.busy_count, took_s=took_s).info("Stopped serving callers.")
    left = server.open_greenlets
    gevent.killall(left, block=False)
    # Those whose caller still receives go on until the process ends. A blocking
    # killall would raise then, and the rest of the stop would be left out.
    gevent.joinall(left, timeout=KILL_TIMEOUT_S)
