"""Reading the head of a ``CONNECT`` request or of the response to it."""

import gevent
import httptools

from kumquatseam.errors import KumquatseamError
from kumquatseam.http1 import ResponseParser
from kumquatseam.response_heads import InvalidHeadError

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
        if is_request:
            self._parse_request(data)
        else:
            self._parse_response(data)

    def _parse_request(self, data: bytes) -> None:
        parser = httptools.HttpRequestParser(self)
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # What follows the head belongs to the tunnel.
            pass
        except httptools.HttpParserError as error:
            raise HeadError(f"relay: not a CONNECT message: {error!r}") from error
        if parser.get_method() != b"CONNECT":
            raise HeadError("relay: only CONNECT is served")

    def _parse_response(self, data: bytes) -> None:
        parser = ResponseParser(self)
        try:
            parser.feed(data)
        except InvalidHeadError as error:
            raise HeadError(f"relay: response to CONNECT: {error}") from error
        self.status = parser.status

    def on_url(self, url: bytes) -> None:
        """Called by the parser with the request's target."""
        self.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with each header."""
        text = (value or b"").decode("latin-1").strip()
        self._headers[name.decode("latin-1").lower()] = text

    def _ignore(self, *_) -> None:
        """Called by the parser with what is not needed."""

    on_message_begin = on_status = on_headers_complete = on_message_complete = _ignore

    def header(self, name: str) -> str:
        """Return the value of a header; ``""`` if there is none."""
        return self._headers.get(name.lower(), "")


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
