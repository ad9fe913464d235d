"""The coding of what a tunnel carries from an upstream.

A tunnel's connection also ends when the instance that carries it is stopped or killed.
What comes from the upstream is therefore sent in HTTP chunked coding, whose last chunk
says that the upstream ended its connection. An instance asks for it by a header of its
``CONNECT`` request; one that does not know it answers without that header.
"""

import httptools

from kumquatseam.http1 import TransportDecoder, TransportError

#: tells that the upstream ended its connection.
LAST_CHUNK = b"0\r\n\r\n"
#: trailer of the last chunk: requests are not sent, for so many seconds.
UNSENT_TRAILER = "Tunnel-Unsent"
_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    """Return some bytes of an upstream as they are sent through a tunnel."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode_refusal(for_s: float) -> bytes:
    """Return the last chunk of a tunnel on which no further request is sent.

    :param for_s: for how long its upstream wants none.
    """
    return b"0\r\n%b: %.3f\r\n\r\n" % (UNSENT_TRAILER.encode(), for_s)


class ChunkedDecoder(TransportDecoder):
    """Decodes what a tunnel carries from its upstream."""

    def __init__(self) -> None:
        self._is_ended = False
        self._unsent_for_s: float | None = None
        self._data = bytearray()
        self._parser = httptools.HttpResponseParser(self)
        self._parser.feed_data(_HEAD)

    @property
    def is_ended(self) -> bool:
        return self._is_ended

    @property
    def unsent_for_s(self) -> float | None:
        return self._unsent_for_s

    def feed(self, data: bytes) -> bytes:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise TransportError(f"tunnel: not in chunks: {error!r}") from error
        decoded = bytes(self._data)
        self._data.clear()
        return decoded

    # Callbacks of the parser; it defines their names.

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.decode("latin-1").lower() == UNSENT_TRAILER.lower():
            self._unsent_for_s = float(value)

    def on_body(self, data: bytes) -> None:
        self._data += data

    def on_message_complete(self) -> None:
        self._is_ended = self._unsent_for_s is None


class OpaqueDecoder(TransportDecoder):
    """For tunnels whose end may be made by the instance that carries them."""

    @property
    def is_ended(self) -> bool:
        return False

    @property
    def unsent_for_s(self) -> float | None:
        return None

    def feed(self, data: bytes) -> bytes:
        return data
