"""Stop a server gracefully; loaded some seconds after a start, with all of a stop."""

import time

import gevent

from kumquatseam.gateway import _connection_end, _cut_record  # noqa: F401
from kumquatseam.gateway._refusals import Reason, RefusedError
from kumquatseam.gateway._stop_clock import StopClock
from kumquatseam.logs import part_logger

_log = part_logger("server")

#: new connections, and requests that are expected to end in time, are accepted for this
#: long after a stop was requested; the load balancer needs two failed health checks, a
#: second apart, to detect it. Later ones come on kept connections only, and others
#: serve them at once, so they need not rely on an estimate.
ADMIT_WHILE_STOPPING_S = 2.6
#: Retry-After of an instance that stops; others serve the request at once.
STOPPING_RETRY_S = 0.05
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


def check_request(clock: StopClock, complete_s: float, allowed_s: float) -> None:
    """Check that a request whose deadline passes after the stop can end before it.

    :param complete_s: when it had been received.
    :param allowed_s: the time to allow for it.
    :raises RefusedError: if it may be cut.
    """
    is_late = complete_s > clock.began_s + ADMIT_WHILE_STOPPING_S
    if is_late or allowed_s > clock.left_s:
        needed = "more than is certain" if is_late else f"{allowed_s:.2f} s"
        detail = f"needs {needed}, {clock.left_s:.2f} s left"
        raise RefusedError(503, Reason.STOPPING, STOPPING_RETRY_S, detail)
