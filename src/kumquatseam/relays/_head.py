"""Reading the head of a ``CONNECT`` request or of the response to it."""

import gevent
import httptools

from kumquatseam.errors import KumquatseamError

#: longest head; a ``CONNECT`` request has one line and one header.
MAX_HEAD_BYTES = 2_048
#: header by which a tunnel's coding is asked for, and confirmed.
CODING_HEADER = "Tunnel-Coding"
CHUNKED = "chunked"
_END = b"\r\n\r\n"


class HeadError(KumquatseamError):
    """The other side closed the connection or sent something else than a head."""


class ConnectHead:
    """The head of a ``CONNECT`` request or of its response.

    :param data: the head's bytes.
    :raises HeadError: if it cannot be parsed.
    """

    def __init__(self, data: bytes, is_request: bool) -> None:
        self.target = ""
        self.status = 0
        self._headers: dict[str, str] = {}
        kind = httptools.HttpRequestParser if is_request else _RESPONSE_PARSER
        parser = kind(self)
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # What follows the head belongs to the tunnel.
            pass
        except httptools.HttpParserError as error:
            raise HeadError(f"relay: not a CONNECT message: {error!r}") from error
        if is_request and parser.get_method() != b"CONNECT":
            raise HeadError("relay: only CONNECT is served")
        if not is_request:
            self.status = parser.get_status_code()

    def on_url(self, url: bytes) -> None:
        """Called by the parser with the request's target."""
        self.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with each header."""
        text = (value or b"").decode("latin-1").strip()
        self._headers[name.decode("latin-1").lower()] = text

    def header(self, name: str) -> str:
        """Return the value of a header; ``""`` if there is none."""
        return self._headers.get(name.lower(), "")


_RESPONSE_PARSER = httptools.HttpResponseParser


def read_head(connection, timeout_s: float) -> bytes:
    """Read until the end of a head; the other side sends nothing behind it yet.

    :raises HeadError: if it is too long, or does not arrive in time.
    """
    data = b""
    with gevent.Timeout(timeout_s, HeadError("relay: no head in time")):
        while not data.endswith(_END):
            try:
                received = connection.recv(MAX_HEAD_BYTES)
            except OSError as error:
                raise HeadError(f"relay: {error!r}") from error
            data += received
            if not received or len(data) > MAX_HEAD_BYTES:
                raise HeadError("relay: connection closed, or head too long")
    return data
