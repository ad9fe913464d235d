"""Connection probe that tells a crashed upstream from a broken connection."""

import enum

import gevent.socket

#: the port of a process that ended refuses connections at once; a timeout is
#: inconclusive.
PROBE_TIMEOUT_S = 0.3


class Liveness(enum.Enum):
    """Result of a connection attempt."""

    ALIVE = "alive"
    ENDED = "ended"
    UNKNOWN = "unknown"


def probe_liveness(address: str) -> Liveness:
    """Return whether a process accepts connections at an address.

    :param address: ``host:port``.
    """
    host, _, port = address.rpartition(":")
    try:
        connection = gevent.socket.create_connection((host, int(port)), PROBE_TIMEOUT_S)
    except ConnectionRefusedError:
        return Liveness.ENDED
    except ConnectionResetError:
        # It listens, but is at its connection limit.
        return Liveness.ALIVE
    except (OSError, ValueError):
        return Liveness.UNKNOWN
    connection.close()
    return Liveness.ALIVE
