"""Recording claims in the log service, in batches.

The log service accepts several hundred appends per second for the whole platform, so
each router batches the claims that arrive within ``linger_s`` into one append. After
the append it reads the topic past its own record to find the holder of the key, the
first claim in log order.
"""

import uuid
from collections.abc import Callable

import attrs
import gevent
import gevent.event
import xxhash

from kumquatseam.errors import CodecError
from kumquatseam.idempotency._records import CLAIM_CODEC, Claim, ClaimTable, Release
from kumquatseam.logs import part_logger
from kumquatseam.logservice import (
    LogRecordsExpiredError,
    LogService,
    LogServiceError,
)
from kumquatseam.loops import StepLoop
from kumquatseam.request_errors import AlreadyClaimedError, ClaimUnavailableError

_log = part_logger("claims")

CLAIM_TOPIC = "kumquatseam.claims"
LINGER_S = 0.005
MAX_ATTEMPTS = 3
RETRY_PAUSE_S = 0.1
RELEASE_WRITE_INTERVAL_S = 1.0
#: longest time until a claim is recorded: all attempts of its batch and of the batch
#: before it, with the timeouts of the log client.
CLAIM_TIMEOUT_S = 15.0


@attrs.define
class _PendingClaim:
    """A claim that is to be appended.

    :param done: set when it is in the log or has failed.
    :param failure: why it failed, if it did.
    """

    claim: Claim
    done: gevent.event.Event = attrs.Factory(gevent.event.Event)
    failure: str | None = None


class ClaimLedger:
    """Claims keys for requests that must run at most once.

    :param log: the log service.
    :param linger_s: how long a batch stays open for further claims.
    :param sleep: waits between attempts.
    :param claim_timeout_s: longest time until a claim is recorded.
    """

    def __init__(
        self,
        log: LogService,
        linger_s: float = LINGER_S,
        sleep: Callable[[float], None] = gevent.sleep,
        claim_timeout_s: float = CLAIM_TIMEOUT_S,
    ) -> None:
        self._log_service = log
        self._linger_s = linger_s
        self._claim_timeout_s = claim_timeout_s
        self._sleep = sleep
        self._table = ClaimTable()
        self._next_offset = 0
        self._pending_claims: list[_PendingClaim] = []
        self._current_batch: list[_PendingClaim] = []
        self._unwritten_releases: list[Release] = []
        self._has_pending = gevent.event.Event()
        self._greenlet: gevent.Greenlet | None = None
        self._release_loop = StepLoop(RELEASE_WRITE_INTERVAL_S, self.write_releases)

    def start(self) -> None:
        """Start the greenlets that append claims and releases."""
        self._greenlet = gevent.spawn(self._append_forever)
        self._release_loop.start()

    def close(self) -> None:
        """Stop the greenlets, end the waits for claims and write the releases."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        _settle([*self._current_batch, *self._pending_claims], "the ledger was closed")
        self._current_batch, self._pending_claims = [], []
        self._release_loop.close()
        self.write_releases()

    def claim(self, team: str, key: str, request_id: str) -> Claim:
        """Claim ``key`` for a request before it is sent anywhere.

        :returns: the claim, which now holds the key.
        :raises AlreadyClaimedError: if an earlier request holds the key.
        :raises ClaimUnavailableError: if the claim could not be recorded in the
            log. It is released and the request must not run.
        """
        digest = xxhash.xxh3_128_hexdigest(f"{team}\x1f{key}".encode())
        earlier = self._table.holder(digest)
        if earlier is not None:
            raise AlreadyClaimedError(key, earlier.request_id)
        claim = Claim(digest, uuid.uuid4().hex, request_id)
        failure = self._append(claim)
        if failure is not None:
            self.release(claim)
            raise ClaimUnavailableError(key, failure)
        holder = self._table.holder(digest)
        if holder is None or holder.claim_id != claim.claim_id:
            holder_id = holder.request_id if holder else "unknown"
            raise AlreadyClaimedError(key, holder_id)
        _log.info("Claim recorded: request={} claim={}.", request_id, claim.claim_id)
        return claim

    def release(self, claim: Claim) -> None:
        """Release a claim whose request has not run and never will."""
        release = Release(claim.key, claim.claim_id)
        self._table.apply(release)
        self._unwritten_releases.append(release)
        _log.info(
            "Claim released: request={} claim={}.", claim.request_id, claim.claim_id
        )

    def write_releases(self) -> None:
        """Append the unwritten releases; keep them for a retry if that fails."""
        releases = list(self._unwritten_releases)
        if not releases:
            return
        try:
            payloads = [CLAIM_CODEC.encode(release) for release in releases]
            self._log_service.append(CLAIM_TOPIC, payloads)
        except LogServiceError as error:
            _log.warning("Writing {} releases failed: {}.", len(releases), error)
            return
        self._unwritten_releases = self._unwritten_releases[len(releases) :]

    def _append(self, claim: Claim) -> str | None:
        """Append ``claim`` in a batch; return the reason if that fails."""
        pending = _PendingClaim(claim)
        if self._greenlet is None:
            self._append_batch([pending])
            return pending.failure
        self._pending_claims.append(pending)
        self._has_pending.set()
        if not pending.done.wait(self._claim_timeout_s):
            return f"not recorded within {self._claim_timeout_s:g} s"
        return pending.failure

    def _append_forever(self) -> None:
        while True:
            self._has_pending.wait()
            gevent.sleep(self._linger_s)
            self._has_pending.clear()
            self._current_batch, self._pending_claims = self._pending_claims, []
            self._append_batch(self._current_batch)
            self._current_batch = []

    def _append_batch(self, batch: list[_PendingClaim]) -> None:
        """Append a batch, with retries, until its claims can be read from the log.

        A retry after a lost response is safe, since the table deduplicates claims.
        """
        payloads = [CLAIM_CODEC.encode(pending.claim) for pending in batch]
        failure = None
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                self._sleep(RETRY_PAUSE_S * attempt)
            try:
                self._log_service.append(CLAIM_TOPIC, payloads)
                failure = None
            except LogServiceError as error:
                failure = str(error)
            try:
                self._read_new_records()
            except LogServiceError as error:
                failure = str(error)
                continue
            if all(self._is_key_held(pending.claim) for pending in batch):
                break
        missing = [p for p in batch if not self._is_key_held(p.claim)]
        _settle(missing, failure or "appended, but not found in the log")
        _settle([p for p in batch if p not in missing], None)

    def _is_key_held(self, claim: Claim) -> bool:
        """Return whether ``claim`` or an earlier one for its key is in the log."""
        return self._table.holder(claim.key) is not None

    def _read_new_records(self) -> None:
        """Apply the topic's new records to the table."""
        try:
            page = self._log_service.read(CLAIM_TOPIC, self._next_offset)
        except LogRecordsExpiredError as expired:
            self._next_offset = expired.first_offset
            page = self._log_service.read(CLAIM_TOPIC, self._next_offset)
        while page.records:
            for record in page.records:
                self._apply(record.payload)
                self._next_offset = record.offset + 1
            if self._next_offset >= page.end_offset:
                return
            page = self._log_service.read(CLAIM_TOPIC, self._next_offset)

    def _apply(self, payload: bytes) -> None:
        try:
            self._table.apply(CLAIM_CODEC.decode(payload))
        except CodecError as error:
            _log.warning("Skipped an unreadable claim record: {}.", error)


def _settle(batch: list[_PendingClaim], failure: str | None) -> None:
    """End the waits for a batch of claims."""
    for pending in batch:
        pending.failure = failure
        pending.done.set()
