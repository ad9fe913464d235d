"""Stop a server whose package cannot be read any more; print what its caller got."""

import sys

import gevent
import gevent.socket

from kumquatseam.gateway import GatewayServer
from kumquatseam.gateway import _server as server_module
from kumquatseam.gateway._connection_admission import ConnectionAdmission
from kumquatseam.gateway._loop_idleness import LoopIdleness
from kumquatseam.gateway._stop_clock import StopClock
from kumquatseam.http1 import RequestLimits

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


class Unreadable:
    """Finds no module of the package."""

    def find_spec(self, name, path=None, target=None):
        if name.startswith("kumquatseam"):
            raise ImportError(name)


class HangingHandler:
    """Answers only when it is cut."""

    def __init__(self):
        self.stop_clock = StopClock()

    def handle(self, request, caller, may_keep_alive):
        try:
            gevent.sleep(60)
        except gevent.GreenletExit:
            caller.send_response(503, [], b"")
        return False


def main():
    server = GatewayServer(
        "127.0.0.1:0",
        HangingHandler(),
        RequestLimits,
        grace_s=0.2,
        admission=ConnectionAdmission(LoopIdleness()),
    )
    server.start()
    gevent.sleep(server_module.LOAD_STOP_AFTER_S + 0.5)
    sys.meta_path.insert(0, Unreadable())
    port = server._listener.getsockname()[1]
    connection = gevent.socket.create_connection(("127.0.0.1", port), 2)
    connection.sendall(REQUEST)
    gevent.sleep(0.1)
    server.close()
    print(connection.recv(100).decode())


if __name__ == "__main__":
    main()
