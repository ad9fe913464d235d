"""Client of the platform's log service over HTTP."""

import base64
import contextlib
import json
import urllib.parse
from collections.abc import Sequence

import urllib3

from kumquatseam.errors import CodecError
from kumquatseam.logs import part_logger
from kumquatseam.logservice._errors import (
    LogAnswerLostError,
    LogConflictError,
    LogRecordsExpiredError,
    LogUnavailableError,
)
from kumquatseam.logservice._framing import (
    frame_keyed,
    frame_records,
    unframe_slice,
)
from kumquatseam.logservice._positions import check_era, era_of, offset_of, position
from kumquatseam.logservice._service import (
    KeyedPage,
    KeyedRecord,
    LogRecord,
    LogService,
    LogSlice,
)
from kumquatseam.pools import AddressPools, PooledResponse
from kumquatseam.response_limits import ResponseLimits

_log = part_logger("log")

_PRECONDITION_FAILED = 412
_GONE = 410
_OK = 200
#: the log service's era; it increases when the service is restored from an older
#: copy.
_ERA_HEADER = "Store-Era"
_MAX_ERA_DIGITS = 9
#: maximum size of the records of one read response.
MAX_READ_KB = 1024
#: size of a response: the records, or a page of newest ones in base64.
_MAX_BYTES = 4 * MAX_READ_KB * 1024
#: time for a whole response, in multiples of the timeout of each of its pieces; the
#: service may send to many instances at once.
_TOTAL_TIMEOUTS = 5


class HttpLogService(LogService):
    """The log service at an HTTP address.

    :param url: base URL, e.g. ``http://10.200.1.7:8784``.
    :param timeout_s: timeout of each piece of a response, in addition to the wait that
        the call requests.
    """

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._pools = AddressPools()
        self.calls = 0

    def start(self) -> None:
        """Do nothing; connections are opened on demand."""

    def close(self) -> None:
        """Close every pooled connection."""
        self._pools.close()

    def append(
        self, topic: str, payloads: Sequence[bytes], at: int | None = None
    ) -> int:
        fields = {"topic": topic, "part": 0}
        if at is not None:
            fields["at"] = offset_of(at)
        body = frame_records(payloads)
        response = self._call("POST", "/log-append", fields, topic, body=body)
        return _position(response, "offset")

    def append_keyed(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> int:
        return self.append(topic, [frame_keyed(key, value)], at)

    def read(self, topic: str, from_offset: int, wait_s: float = 0.0) -> LogSlice:
        fields = {
            "topic": topic,
            "part": 0,
            "from": offset_of(from_offset),
            "maxKb": MAX_READ_KB,
            "waitMs": int(wait_s * 1000),
        }
        response = self._call("GET", "/log-read", fields, topic, extra_s=wait_s)
        try:
            end_offset, first_offset, payloads = unframe_slice(response.data)
        except CodecError as error:
            raise LogAnswerLostError(str(error)) from error
        era = _era(response)
        check_era(topic, from_offset, era, first_offset)
        first = position(era, offset_of(from_offset))
        records = tuple(
            LogRecord(first + index, payload) for index, payload in enumerate(payloads)
        )
        return LogSlice(position(era, first_offset), position(era, end_offset), records)

    def newest(self, topic: str) -> KeyedPage:
        records: list[KeyedRecord] = []
        end_offset: int | None = None
        fields = {"topic": topic, "part": 0}
        while True:
            response = self._call("GET", "/log-newest", fields, topic)
            era = _era(response)
            if end_offset is not None and era_of(end_offset) != era:
                # Restored from an older copy between pages: start over.
                records, end_offset = [], None
                del fields["after"]
                continue
            with _decoding():
                items = _field(response.data, "items")
                found = [_record(item, era) for item in items]
                records += [record for record in found if record is not None]
            # The pages are not one snapshot, but changes made between them are
            # past the end that the first page states, where the reader continues.
            if end_offset is None:
                end_offset = _position(response, "end")
            if not _field(response.data, "hasMore"):
                return KeyedPage(tuple(records), end_offset)
            after = items[-1].get("key") if items else None
            if not isinstance(after, str) or after == fields.get("after"):
                raise LogAnswerLostError("pages do not advance")
            fields["after"] = after

    def _call(
        self, method: str, path: str, fields, topic: str, body=None, extra_s=0.0
    ) -> PooledResponse:
        self.calls += 1
        timeout = urllib3.Timeout(
            connect=self._timeout_s, read=self._timeout_s + extra_s
        )
        try:
            response = self._pools.request(
                method,
                self._url,
                f"{path}?{urllib.parse.urlencode(fields, errors='surrogatepass')}",
                ResponseLimits(_MAX_BYTES, _TOTAL_TIMEOUTS * self._timeout_s + extra_s),
                body=body,
                timeout=timeout,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise LogUnavailableError(str(error)) from error
        except urllib3.exceptions.HTTPError as error:
            raise LogAnswerLostError(repr(error)) from error
        if response.status == _OK:
            return response
        if response.status == _PRECONDITION_FAILED:
            raise LogConflictError(topic, _position(response, "end"))
        if response.status == _GONE:
            raise LogRecordsExpiredError(topic, _position(response, "first"))
        raise LogUnavailableError(f"HTTP {response.status}")


def _era(response: PooledResponse) -> int:
    """Return the era stated in a response; 0 if there is none.

    :raises LogAnswerLostError: if it is not a number.
    """
    text = response.headers.get(_ERA_HEADER, "0")
    if not text.isdecimal() or len(text) > _MAX_ERA_DIGITS:
        raise LogAnswerLostError(f"unreadable era: {text[:80]!r}")
    return int(text)


def _record(item: dict, era: int) -> KeyedRecord | None:
    """Return a listed record; ``None`` if its key is no text: others can be used."""
    key = item.get("key")
    try:
        key.encode()
    except (AttributeError, UnicodeEncodeError):
        _log.bind(key=repr(key)[:80]).warning("A record's key is no text; skipped.")
        return None
    return KeyedRecord(
        key, base64.b64decode(item["value"]), position(era, item["offset"])
    )


def _position(response: PooledResponse, name: str) -> int:
    """Return the position in a field of a JSON response."""
    with _decoding():
        return position(_era(response), _field(response.data, name))


def _field(body: bytes, name: str):
    """Return a field of a JSON response."""
    with _decoding():
        return json.loads(body)[name]


@contextlib.contextmanager
def _decoding():
    """Decode a response.

    :raises LogAnswerLostError: if it is invalid.
    """
    try:
        yield
    except (
        ValueError,
        LookupError,
        TypeError,
        AttributeError,
        RecursionError,
    ) as error:
        raise LogAnswerLostError(f"invalid response: {error!r}"[:400]) from error
