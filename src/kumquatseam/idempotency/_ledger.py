"""Recording claims in the log service, many per append.

The log takes several hundred appends a second for the whole platform, so
each router collects the claims that arrive within ``linger_s`` into one
append. After the append it reads the topic up to and past its own record
and looks who holds the key: the first claim in log order.
"""

import uuid
from collections.abc import Callable

import attrs
import gevent
import gevent.event
import xxhash

from kumquatseam.errors import (
    AlreadyClaimedError,
    ClaimUnavailableError,
    CodecError,
)
from kumquatseam.idempotency._records import CLAIM_CODEC, Claim, ClaimTable, Release
from kumquatseam.logs import part_logger
from kumquatseam.logservice import (
    LogRecordsExpiredError,
    LogService,
    LogServiceError,
)
from kumquatseam.loops import StepLoop

_log = part_logger("claims")

CLAIM_TOPIC = "kumquatseam.claims"
LINGER_S = 0.005
ATTEMPTS = 3
RETRY_PAUSE_S = 0.1
RELEASE_RETRY_S = 1.0


@attrs.define
class _Waiting:
    record: Claim
    done: gevent.event.Event = attrs.Factory(gevent.event.Event)
    failure: str | None = None


class ClaimLedger:
    """Claims keys for requests that must run at most once.

    :param log: the log service.
    :param linger_s: how long a claim waits for others to share its append.
    :param sleep: pauses between attempts.
    """

    def __init__(
        self,
        log: LogService,
        linger_s: float = LINGER_S,
        sleep: Callable[[float], None] = gevent.sleep,
    ) -> None:
        self._log_service = log
        self._linger_s = linger_s
        self._sleep = sleep
        self._table = ClaimTable()
        self._next_offset = 0
        self._waiting: list[_Waiting] = []
        self._releases: list[Release] = []
        self._wake = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None
        self._release_loop = StepLoop(RELEASE_RETRY_S, self.write_releases)

    def start(self) -> None:
        """Begin appending."""
        self._greenlet = gevent.spawn(self._append_forever)
        self._release_loop.start()

    def close(self) -> None:
        """Write the releases still owed, then stop."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        self._release_loop.close()
        self.write_releases()

    def claim(self, team: str, key: str, request_id: str) -> Claim:
        """Claim ``key`` for a request before it is sent anywhere.

        :returns: the claim, which now holds the key.
        :raises AlreadyClaimedError: if an earlier request holds the key.
        :raises ClaimUnavailableError: if the log did not take the claim; it
            is given up and the request must not run.
        """
        digest = xxhash.xxh3_128_hexdigest(f"{team}\x1f{key}".encode())
        held = self._table.holder(digest)
        if held is not None:
            raise AlreadyClaimedError(key, held.request_id)
        claim = Claim(digest, uuid.uuid4().hex, request_id)
        failure = self._append(claim)
        if failure is not None:
            self.release(claim)
            raise ClaimUnavailableError(key, failure)
        holder = self._table.holder(digest)
        if holder is None or holder.claim_id != claim.claim_id:
            holder_id = holder.request_id if holder else "unknown"
            raise AlreadyClaimedError(key, holder_id)
        _log.info("request={} holds claim={}.", request_id, claim.claim_id)
        return claim

    def release(self, claim: Claim) -> None:
        """Give up a claim whose request provably never ran."""
        release = Release(claim.key, claim.claim_id)
        self._table.apply(release)
        self._releases.append(release)
        _log.info("request={} gave up claim={}.", claim.request_id, claim.claim_id)

    def write_releases(self) -> None:
        """Write the releases owed; those the log does not take stay owed."""
        owed = list(self._releases)
        if not owed:
            return
        try:
            payloads = [CLAIM_CODEC.encode(release) for release in owed]
            self._log_service.append(CLAIM_TOPIC, payloads)
        except LogServiceError as error:
            _log.warning("{} releases stay owed: {}.", len(owed), error)
            return
        self._releases = self._releases[len(owed) :]

    def _append(self, claim: Claim) -> str | None:
        """Append ``claim`` with others; return why not, if not."""
        waiting = _Waiting(claim)
        if self._greenlet is None:
            self._append_batch([waiting])
            return waiting.failure
        self._waiting.append(waiting)
        self._wake.set()
        waiting.done.wait()
        return waiting.failure

    def _append_forever(self) -> None:
        while True:
            self._wake.wait()
            gevent.sleep(self._linger_s)
            self._wake.clear()
            batch, self._waiting = self._waiting, []
            self._append_batch(batch)

    def _append_batch(self, batch: list[_Waiting]) -> None:
        """Append a batch until it is seen in the log, or give up.

        Appending again after a lost answer is safe: a claim counts once
        however often it stands in the log.
        """
        payloads = [CLAIM_CODEC.encode(waiting.record) for waiting in batch]
        failure = None
        for attempt in range(ATTEMPTS):
            if attempt:
                self._sleep(RETRY_PAUSE_S * attempt)
            try:
                self._log_service.append(CLAIM_TOPIC, payloads)
                failure = None
            except LogServiceError as error:
                failure = str(error)
            try:
                self._catch_up()
            except LogServiceError as error:
                failure = str(error)
                continue
            if all(self._is_settled(waiting.record) for waiting in batch):
                failure = None
                break
        for waiting in batch:
            waiting.failure = failure
            waiting.done.set()

    def _is_settled(self, claim: Claim) -> bool:
        """Return whether the log holds ``claim`` or one before it."""
        return self._table.holder(claim.key) is not None

    def _catch_up(self) -> None:
        """Fold the topic's new records into the table."""
        try:
            found = self._log_service.read(CLAIM_TOPIC, self._next_offset)
        except LogRecordsExpiredError as expired:
            self._next_offset = expired.first_offset
            found = self._log_service.read(CLAIM_TOPIC, self._next_offset)
        while found.records:
            for record in found.records:
                self._apply(record.payload)
                self._next_offset = record.offset + 1
            if self._next_offset >= found.end_offset:
                return
            found = self._log_service.read(CLAIM_TOPIC, self._next_offset)

    def _apply(self, payload: bytes) -> None:
        try:
            self._table.apply(CLAIM_CODEC.decode(payload))
        except CodecError as error:
            _log.warning("Skipped a record: {}.", error)
