"""Client of the platform's log service over its published HTTP protocol."""

import base64
import json
import urllib.parse
from collections.abc import Sequence

import urllib3

from kumquatseam.errors import CodecError
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
from kumquatseam.logservice._service import (
    KeyedPage,
    KeyedRecord,
    LogRecord,
    LogService,
    LogSlice,
)
from kumquatseam.pools import AddressPools

_CONFLICT = 412
_GONE = 410
_OK = 200
#: the most a single read may return.
MAX_READ_KB = 1024


class HttpLogService(LogService):
    """The log service at an HTTP address.

    :param url: base URL, e.g. ``http://10.200.1.7:8784``.
    :param timeout_s: timeout of a call, on top of any wait it asks for.
    """

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._pools = AddressPools()
        self.calls = 0

    def start(self) -> None:
        """Connections open as calls need them."""

    def close(self) -> None:
        """Close every pooled connection."""
        self._pools.close()

    def append(
        self, topic: str, payloads: Sequence[bytes], at: int | None = None
    ) -> int:
        fields = {"topic": topic, "part": 0}
        if at is not None:
            fields["at"] = at
        body = frame_records(payloads)
        answer = self._call("POST", "/log-append", fields, topic, body=body)
        return _field(answer, "offset")

    def append_keyed(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> int:
        return self.append(topic, [frame_keyed(key, value)], at)

    def read(self, topic: str, from_offset: int, wait_s: float = 0.0) -> LogSlice:
        fields = {
            "topic": topic,
            "part": 0,
            "from": from_offset,
            "maxKb": MAX_READ_KB,
            "waitMs": int(wait_s * 1000),
        }
        answer = self._call("GET", "/log-read", fields, topic, extra_s=wait_s)
        try:
            end_offset, first_offset, payloads = unframe_slice(answer)
        except CodecError as error:
            raise LogAnswerLostError(str(error)) from error
        records = tuple(
            LogRecord(from_offset + index, payload)
            for index, payload in enumerate(payloads)
        )
        return LogSlice(first_offset, end_offset, records)

    def newest(self, topic: str) -> KeyedPage:
        records: list[KeyedRecord] = []
        end_offset: int | None = None
        fields = {"topic": topic, "part": 0}
        while True:
            answer = self._call("GET", "/log-newest", fields, topic)
            for item in _field(answer, "items"):
                value = base64.b64decode(item["value"])
                records.append(KeyedRecord(item["key"], value, item["offset"]))
            # Pages are no snapshot: what changes meanwhile lies past the end
            # of the first page, from where a reader goes on.
            end_offset = _field(answer, "end") if end_offset is None else end_offset
            if not _field(answer, "hasMore"):
                return KeyedPage(tuple(records), end_offset)
            fields["after"] = records[-1].key

    def _call(
        self, method: str, path: str, fields, topic: str, body=None, extra_s=0.0
    ) -> bytes:
        self.calls += 1
        timeout = urllib3.Timeout(
            connect=self._timeout_s, read=self._timeout_s + extra_s
        )
        try:
            response = self._pools.request(
                method,
                self._url,
                f"{path}?{urllib.parse.urlencode(fields)}",
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
            return response.data
        if response.status == _CONFLICT:
            raise LogConflictError(topic, _field(response.data, "end"))
        if response.status == _GONE:
            raise LogRecordsExpiredError(topic, _field(response.data, "first"))
        raise LogUnavailableError(f"HTTP {response.status}")


def _field(answer: bytes, name: str):
    """Return a field of a JSON answer.

    :raises LogAnswerLostError: if the answer cannot be read.
    """
    try:
        return json.loads(answer)[name]
    except (ValueError, KeyError, TypeError) as error:
        raise LogAnswerLostError(f"unreadable answer: {error!r}") from error
