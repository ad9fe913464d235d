"""Parse responses, and refuse what llhttp takes although it is no HTTP response."""

import re

import httptools

from kumquatseam.response_heads import (
    MAX_FIELDS,
    MAX_INTERIM_HEADS,
    InvalidHeadError,
    check_reason,
    check_status_line,
    is_interim,
)

#: other protocols that llhttp reads, and how the last bytes received may begin one.
_OTHER_PROTOCOLS = (b"ICE/", b"RTSP/")
_OTHER_STARTS = (b"I", b"IC", b"ICE", b"R", b"RT", b"RTS", b"RTSP")
_OTHER_PROTOCOL = re.compile(rb"ICE/|RTSP/|(?:I|IC|ICE|R|RT|RTS|RTSP)\Z")


class ResponseParser:
    """Parses the responses on one connection, one after the other.

    :param handler: gets what was parsed, by the methods that ``httptools`` defines for
        a protocol; ``on_body`` is optional. No invalid head is complete for it.
    """

    def __init__(self, handler) -> None:
        self._handler = handler
        #: whether the next byte begins a head.
        self._is_between_responses = True
        #: fields of the current response, and interim heads since the last one.
        self._fields = self._interim_heads = 0
        # The library looks for it when it is created, and then calls it directly.
        if hasattr(handler, "on_body"):
            self.on_body = handler.on_body
        self._parser = httptools.HttpResponseParser(self)

    def close(self) -> None:
        """Drop what it keeps, at once: the library's parser refers back to it."""
        self._parser = None

    @property
    def status(self) -> int:
        """The status in the last head."""
        return self._parser.get_status_code()

    def should_keep_alive(self) -> bool:
        """Return whether another response may follow the last one."""
        return self._parser.should_keep_alive()

    def feed(self, data: bytes) -> None:
        """Add bytes that were received.

        :raises InvalidHeadError: if they are no response.
        """
        try:
            if data.endswith(_OTHER_STARTS) or any(p in data for p in _OTHER_PROTOCOLS):
                self._feed_pieces(data)
            else:
                self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__
            if isinstance(cause, InvalidHeadError):
                raise cause from None
            raise InvalidHeadError(repr(cause or error)) from error

    def _feed_pieces(self, data: bytes) -> None:
        """Stop before anything that may be the name of another protocol.

        The library does not tell which one it has read.
        """
        fed_bytes = 0
        for match in _OTHER_PROTOCOL.finditer(data):
            self._parser.feed_data(data[fed_bytes : match.start()])
            fed_bytes = match.start()
            if self._is_between_responses:
                raise InvalidHeadError(f"begins with {match[0]!r}")
        self._parser.feed_data(data[fed_bytes:])

    # Callbacks of the library; it defines their names.

    def on_message_begin(self) -> None:
        self._is_between_responses = False
        self._fields = 0
        self._handler.on_message_begin()

    def on_status(self, reason: bytes) -> None:
        check_reason(reason)
        self._handler.on_status(reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields += 1
        if self._fields > MAX_FIELDS:
            raise InvalidHeadError(f"over {MAX_FIELDS} fields")
        self._handler.on_header(name, value)

    def on_headers_complete(self) -> None:
        check_status_line(self._parser.get_http_version(), self.status)
        self._interim_heads = self._interim_heads + 1 if is_interim(self.status) else 0
        if self._interim_heads > MAX_INTERIM_HEADS:
            raise InvalidHeadError(f"over {MAX_INTERIM_HEADS} interim heads")
        self._handler.on_headers_complete()

    def on_message_complete(self) -> None:
        self._is_between_responses = True
        self._handler.on_message_complete()
