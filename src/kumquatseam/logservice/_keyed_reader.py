"""Reading a keyed topic: a snapshot first, then only new records."""

import attrs

from kumquatseam.errors import CodecError
from kumquatseam.logs import part_logger
from kumquatseam.logservice._errors import LogRecordsExpiredError
from kumquatseam.logservice._framing import unframe_keyed
from kumquatseam.logservice._service import LogService

_log = part_logger("log")


@attrs.frozen
class KeyedChange:
    """A new value of one key.

    :param offset: the offset of its record.
    :param key: the key.
    :param value: the value; empty if the key was deleted.
    """

    offset: int
    key: str
    value: bytes


@attrs.frozen
class KeyedBatch:
    """The result of one read of a keyed topic.

    :param from_offset: the first offset it covers.
    :param next_offset: where the next read starts.
    :param changes: in order of their offsets.
    :param is_snapshot: the changes are all keys of the topic; a key that is not
        among them was deleted.
    """

    from_offset: int
    next_offset: int
    changes: tuple[KeyedChange, ...] = ()
    is_snapshot: bool = False


class KeyedReader:
    """Reads one keyed topic.

    :param log: the log service.
    :param topic: the keyed topic.
    """

    def __init__(self, log: LogService, topic: str) -> None:
        self._log_service = log
        self._topic = topic

    def read(self, from_offset: int | None, wait_s: float = 0.0) -> KeyedBatch:
        """Return the changes since ``from_offset``.

        Returns a snapshot instead if those records have expired or the topic now
        ends before ``from_offset``.

        :param from_offset: ``None`` to read a snapshot.
        :param wait_s: how long to wait for new records if there are none.
        :raises LogServiceError: if the log service does not respond.
        """
        if from_offset is None:
            return self._read_snapshot()
        try:
            found = self._log_service.read(self._topic, from_offset, wait_s)
        except LogRecordsExpiredError:
            return self._read_snapshot()
        if found.end_offset < from_offset:
            return self._read_snapshot()
        changes = (
            self._change(record.offset, record.payload) for record in found.records
        )
        return KeyedBatch(
            from_offset,
            from_offset + len(found.records),
            tuple(change for change in changes if change is not None),
        )

    def _read_snapshot(self) -> KeyedBatch:
        page = self._log_service.newest(self._topic)
        changes = tuple(
            KeyedChange(record.offset, record.key, record.value)
            for record in page.records
            if record.value
        )
        return KeyedBatch(0, page.end_offset, changes, is_snapshot=True)

    def _change(self, offset: int, payload: bytes) -> KeyedChange | None:
        try:
            key, value = unframe_keyed(payload)
        except CodecError as error:
            _log.bind(topic=self._topic, offset=offset, error=str(error)).warning(
                "Cannot decode a record of a keyed topic; skipped."
            )
            return None
        return KeyedChange(offset, key, value)
