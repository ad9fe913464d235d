"""The stand-in log service over the platform's published HTTP protocol."""

import base64
import time

import attrs
import bottle
import gevent
import gevent.event

from kumquatseam.logs import part_logger
from kumquatseam.logservice import (
    LogConflictError,
    LogRecordsExpiredError,
    LogUnavailableError,
    unframe_records,
)
from kumquatseam.standins._http import StandinServer, json_answer, json_body
from kumquatseam.standins.logservice._faults import LogFaults
from kumquatseam.standins.logservice._framing import frame_slice
from kumquatseam.standins.logservice._store import LogStore

_log = part_logger("logstandin")
#: how long a call whose answer is lost holds its connection open.
LOST_ANSWER_HOLD_S = 30.0
MAX_WAIT_S = 30.0
#: newest records in one page at most.
PAGE_RECORDS = 500


class StandinLogService:
    """Serves a :class:`LogStore` over HTTP, with faults on request.

    ``PUT /standin/faults`` with the fields of :class:`LogFaults` sets what is
    wrong; tests and experiments use it. ``PUT /standin/copy`` makes a copy of the
    records, and ``PUT /standin/return`` goes on from the last one.

    :param port: TCP port on 127.0.0.1.
    :param store: the records.
    """

    def __init__(self, port: int, store: LogStore, host: str = "127.0.0.1") -> None:
        self.store = store
        self.faults = LogFaults()
        self._grown = gevent.event.Event()
        app = bottle.Bottle()
        self._copy = store.copy_topics()
        app.post("/log-append", callback=self._in_era(self._append))
        app.get("/log-read", callback=self._in_era(self._read))
        app.get("/log-newest", callback=self._in_era(self._newest))
        app.put("/standin/faults", callback=self._set_faults)
        app.put("/standin/copy", callback=self._copy_records)
        app.put("/standin/return", callback=self._return_from_copy)
        app.get("/standin/stats", callback=lambda: {"appends": self.store.appends})
        self._server = StandinServer(app, host, port)

    def start(self) -> None:
        """Begin serving."""
        self._server.start()
        _log.info("Serving with limits {}.", self.store.limits)

    def close(self) -> None:
        """Stop serving."""
        self._server.close()

    def _set_faults(self):
        for name, value in json_body().items():
            setattr(self.faults, name, value)
        _log.info("Faults set: {}.", self.faults)
        return attrs.asdict(self.faults)

    def _copy_records(self):
        self._copy = self.store.copy_topics()
        return {"era": self.store.era}

    def _return_from_copy(self):
        self.store.return_from(self._copy)
        _log.info("Returned from a copy, era {}.", self.store.era)
        # Whoever waits at an offset that is gone is answered.
        self._grown.set()
        self._grown.clear()
        return {"era": self.store.era}

    def _in_era(self, callback):
        """Return ``callback`` with its answers naming the era."""

        def answer():
            found = callback()
            era = str(self.store.era)
            if isinstance(found, bottle.HTTPResponse):
                found.set_header("Store-Era", era)
            else:
                bottle.response.set_header("Store-Era", era)
            return found

        return answer

    def _enter(self) -> bottle.HTTPResponse | None:
        if self.faults.slow_s:
            gevent.sleep(self.faults.slow_s)
        return json_answer(503, {"why": "down"}) if self.faults.down else None

    def _append(self):
        refused = self._enter()
        if refused:
            return refused
        if self.faults.take_dropped_append():
            gevent.sleep(LOST_ANSWER_HOLD_S)
        query = bottle.request.query
        at = int(query["at"]) if "at" in query else None
        payloads = unframe_records(bottle.request.body.read())
        try:
            offset = self.store.append(query["topic"], payloads, at)
        except LogUnavailableError as error:
            return json_answer(429, {"why": str(error)})
        except LogConflictError as error:
            return json_answer(412, {"end": error.end_offset})
        self._grown.set()
        self._grown.clear()
        if self.faults.take_lost_answer():
            gevent.sleep(LOST_ANSWER_HOLD_S)
        return {"offset": offset, "end": offset + len(payloads)}

    def _read(self):
        refused = self._enter()
        if refused:
            return refused
        query = bottle.request.query
        wait_s = min(int(query.get("waitMs", 0)) / 1000, MAX_WAIT_S)
        deadline_s = time.monotonic() + wait_s
        while True:
            try:
                found = self.store.read(query["topic"], int(query["from"]))
            except LogRecordsExpiredError as error:
                return json_answer(410, {"first": error.first_offset})
            left_s = deadline_s - time.monotonic()
            if found.records or left_s <= 0:
                break
            self._grown.wait(left_s)
        bottle.response.content_type = "application/octet-stream"
        payloads = [record.payload for record in found.records]
        return frame_slice(found.end_offset, found.first_offset, payloads)

    def _newest(self):
        refused = self._enter()
        if refused:
            return refused
        query = bottle.request.query
        page = self.store.newest(query["topic"])
        after = query.get("after", "")
        left = [record for record in page.records if record.key > after]
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in left[:PAGE_RECORDS]
        ]
        has_more = len(left) > PAGE_RECORDS
        return {"items": items, "hasMore": has_more, "end": page.end_offset}
