"""One connection to an upstream, carrying one request at a time."""

import collections
import socket
import time
from collections.abc import Callable

import gevent.select
import gevent.socket
import httptools

from kumquatseam.http1._errors import AnswerBrokenError, ConnectFailedError
from kumquatseam.http1._messages import Headers, ResponseHead
from kumquatseam.pools import silent_connection_options

_READ_BYTES = 65_536
#: answers to earlier requests that may be skipped before the right one.
_MAX_STRAY_ANSWERS = 3


def open_connection(address: str, timeout_s: float) -> "UpstreamConnection":
    """Connect to ``address`` (``host:port``).

    :raises ConnectFailedError: if it takes too long or is refused.
    """
    host, _, port = address.rpartition(":")
    try:
        opened = gevent.socket.create_connection((host, int(port)), timeout_s)
    except (OSError, ValueError) as error:
        raise ConnectFailedError(address, repr(error)) from error
    opened.settimeout(None)
    for option in silent_connection_options():
        opened.setsockopt(*option)
    return UpstreamConnection(address, opened)


class _Answer:
    """An answer while it is being parsed."""

    def __init__(self) -> None:
        self.fields: list[tuple[bytes, bytes]] = []
        self.head: ResponseHead | None = None
        self.body = bytearray()
        self.complete = False
        self.keep_alive = False


class UpstreamConnection:
    """A connection whose answers are checked for whose they are.

    :param address: ``host:port`` it leads to.
    :param connection: the open socket.
    """

    def __init__(self, address: str, connection) -> None:
        self.address = address
        self._socket = connection
        self._parser = httptools.HttpResponseParser(self)
        self._answers: collections.deque[_Answer] = collections.deque()
        self._unsent = b""
        self._garbled = ""
        self._ended = ""
        self.idle_limit_s: float | None = None
        self.has_sent = False

    def close(self) -> None:
        """Close at once; an upstream at work on a request sees it."""
        self._socket.close()

    def is_quiet(self) -> bool:
        """Return whether the idle connection is open with nothing to read.

        Looks without giving way to other greenlets: one that closed the idle
        connections meanwhile would leave a closed one in the caller's hands.
        """
        try:
            self._socket._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(self, data: bytes) -> None:
        """Begin to send a request; the rest goes out while reading.

        :raises AnswerBrokenError: if the connection fails.
        """
        self._answers.clear()
        self._unsent = data
        self.has_sent = False
        self._write()

    def read_head(
        self,
        request_id: str,
        id_header: bytes,
        wait: "Wait",
        may_be_unnamed: Callable[[ResponseHead], bool] = lambda head: False,
    ) -> ResponseHead:
        """Return the head of the answer to ``request_id``.

        Answers to other requests that come late on this connection are
        skipped: the id tells whose they are.

        :param wait: waits for bytes; may raise to end the exchange.
        :param may_be_unnamed: whether an answer without an id is taken as the
            one to this request; late answers to others carry their ids.
        :raises AnswerBrokenError: if no such answer comes.
        """
        strays = 0
        while True:
            self._fill_until(lambda: self._answers and self._answers[0].head, wait)
            head = self._answers[0].head
            if head.headers.text(id_header) == request_id:
                return head
            if not head.headers.get(id_header):
                if may_be_unnamed(head):
                    return head
                raise AnswerBrokenError(self.address, "answer names no request")
            strays += 1
            if strays > _MAX_STRAY_ANSWERS or head.ends_with_connection:
                raise AnswerBrokenError(self.address, "answer to another request")
            self._fill_until(lambda: self._answers[0].complete, wait)
            self._answers.popleft()

    def read_body(self, wait: "Wait") -> bytes:
        """Return the next bytes of the body; empty at its whole end.

        :raises AnswerBrokenError: if the body ends before it is whole.
        """
        answer = self._answers[0]
        self._fill_until(lambda: answer.body or answer.complete, wait)
        data = bytes(answer.body)
        answer.body.clear()
        return data

    @property
    def may_be_reused(self) -> bool:
        """Whether the exchange ended so that another may follow."""
        answer = self._answers[0] if self._answers else None
        return (
            len(self._answers) == 1
            and answer.complete
            and answer.keep_alive
            and not answer.head.ends_with_connection
            and not self._unsent
            and not self._garbled
            and not self._ended
        )

    def _fill_until(self, is_there: Callable[[], object], wait: "Wait") -> None:
        while not is_there():
            if self._garbled:
                raise AnswerBrokenError(self.address, self._garbled)
            if self._ended:
                raise AnswerBrokenError(self.address, self._ended)
            if wait(self._socket, bool(self._unsent)):
                self._write()
            self._read_available()

    def _write(self) -> None:
        if not self._unsent:
            return
        try:
            sent = self._socket._sock.send(self._unsent[:262_144])
        except BlockingIOError:
            return
        except OSError as error:
            if not self.has_sent:
                raise AnswerBrokenError(self.address, f"send: {error!r}") from error
            # An early answer may still be readable.
            self._unsent = b"\0"
            return
        self.has_sent = True
        self._unsent = self._unsent[sent:]

    def _read_available(self) -> None:
        try:
            data = self._socket._sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._ended = f"reset: {error!r}"
            return
        if not data:
            self._end_cleanly()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._garbled = f"not an HTTP answer: {error!r}"
        except httptools.HttpParserUpgrade:
            self._garbled = "unexpected protocol upgrade"

    def _end_cleanly(self) -> None:
        """Take the end of the connection, which may end a body too."""
        answer = self._answers[-1] if self._answers else None
        if answer and answer.head and answer.head.ends_with_connection:
            answer.complete = True
        self._ended = "connection closed"

    # Callbacks of the parser, named by it.

    def on_message_begin(self) -> None:
        self._answers.append(_Answer())

    def on_header(self, name: bytes, value: bytes) -> None:
        self._answers[-1].fields.append((name, value or b""))

    def on_headers_complete(self) -> None:
        answer = self._answers[-1]
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            return
        headers = Headers(answer.fields)
        length = headers.get(b"content-length")
        is_chunked = b"chunked" in (headers.get(b"transfer-encoding") or b"").lower()
        answer.keep_alive = self._parser.should_keep_alive()
        length_bytes = int(length) if length is not None else None
        answer.head = ResponseHead(status, headers, length_bytes, is_chunked)

    def on_body(self, data: bytes) -> None:
        self._answers[-1].body += data

    def on_message_complete(self) -> None:
        answer = self._answers[-1]
        if answer.head is None:
            self._answers.pop()
            return
        if not answer.head.ends_with_connection:
            answer.complete = True


class Wait:
    """Waits for an upstream's bytes until a deadline, minding the caller.

    Call it with the upstream's socket and whether bytes wait to be sent; it
    returns whether the socket takes bytes.

    :param until_s: monotonic time at which waiting ends with an error.
    :param address: the upstream, for the error.
    :param caller: the caller's socket, watched for its end, or ``None``.
    :param on_caller: called when the caller's socket turns readable; raises
        if the caller left, and returns whether to go on watching.
    """

    def __init__(
        self,
        until_s: float,
        address: str,
        caller=None,
        on_caller: Callable[[], bool] = lambda: True,
    ) -> None:
        self.until_s = until_s
        self._address = address
        self._caller = caller
        self._on_caller = on_caller

    def __call__(self, upstream, wants_write: bool) -> bool:
        while True:
            left_s = self.until_s - time.monotonic()
            if left_s <= 0:
                raise AnswerBrokenError(self._address, "nothing in time")
            readers = [upstream] if self._caller is None else [upstream, self._caller]
            writers = [upstream] if wants_write else []
            readable, writable, _ = gevent.select.select(readers, writers, [], left_s)
            if self._caller in readable and not self._on_caller():
                self._caller = None
            if upstream in readable or writable:
                return bool(writable)
