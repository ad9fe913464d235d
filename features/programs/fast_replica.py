"""A plain replica that answers as fast as it can.

Usage: fast_replica.py PORT ID SIGNATURE
"""

import sys

import gevent
import gevent.server

ANSWER = (
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Request-Id: {}\r\n"
    "X-Replica-Signature: {}\r\n\r\nwhole"
)


class FastReplica:
    """Answers each request on its connections.

    :param signature: the value of its signature header.
    """

    def __init__(self, signature):
        self.signature = signature

    def serve(self, connection, _):
        """Answer the requests on one connection until its peer closes it."""
        reader = connection.makefile("rb")
        try:
            while head := self._read_head(reader):
                reader.read(int(head.get("content-length", 0)))
                request_id = head.get("x-request-id", "")
                connection.sendall(ANSWER.format(request_id, self.signature).encode())
        except OSError:
            pass  # The peer closed the connection early.

    def _read_head(self, reader):
        """Return the fields of the next request; empty at the connection's end."""
        fields = {}
        while (line := reader.readline()) not in (b"", b"\r\n"):
            name, _, value = line.decode().partition(":")
            fields[name.lower()] = value.strip()
        return fields


def main():
    port, upstream_id, signature = sys.argv[1:]
    replica = FastReplica(f"{signature}.{upstream_id}")
    server = gevent.server.StreamServer(("127.0.0.1", int(port)), replica.serve)
    server.start()
    gevent.wait()


if __name__ == "__main__":
    main()
