"""Steps for the claim ledger on faulty log services."""

import gevent
import gevent.event
from behave import given, then, when

from kumquatseam.idempotency import ClaimLedger
from kumquatseam.logservice import LogSlice
from kumquatseam.request_errors import AlreadyClaimedError, ClaimUnavailableError

#: limits of a claim in these steps, in seconds.
CLAIM_TIMEOUT_S = 0.3
MAX_WAIT_S = 3.0


class ForgetfulLog:
    """Accepts appends and shows no record."""

    def append(self, topic, payloads, at=None):
        return 0

    def read(self, topic, offset):
        return LogSlice(0, 1, ())


class SilentLog:
    """Does not answer."""

    def append(self, topic, payloads, at=None):
        gevent.event.Event().wait()

    def read(self, topic, offset):
        gevent.event.Event().wait()


def _start_ledger(context, log):
    context.ledger = ClaimLedger(
        log, sleep=lambda pause_s: gevent.sleep(0), claim_timeout_s=CLAIM_TIMEOUT_S
    )
    # What is released is written by a loop of its own.
    context.released = []
    context.ledger.write_releases = lambda: None
    context.ledger.start()


@given("a ledger on a log service that accepts claims and never shows them")
def step_forgetful(context):
    _start_ledger(context, ForgetfulLog())


@given("a ledger on a log service that does not answer")
def step_silent(context):
    _start_ledger(context, SilentLog())


def _claim(context):
    try:
        return context.ledger.claim("alpha", "key-1", "r1")
    except (AlreadyClaimedError, ClaimUnavailableError) as error:
        return error


@when("a request claims a key")
def step_claim(context):
    claiming = gevent.spawn(_claim, context)
    claiming.join(MAX_WAIT_S)
    context.outcome = claiming.value if claiming.ready() else "still waiting"
    claiming.kill()


@when("a request claims a key, and the ledger is closed a moment later")
def step_claim_and_close(context):
    claiming = gevent.spawn(_claim, context)
    gevent.sleep(CLAIM_TIMEOUT_S / 3)
    context.ledger.close()
    claiming.join(CLAIM_TIMEOUT_S / 3)
    context.outcome = claiming.value if claiming.ready() else "still waiting"
    claiming.kill()


@then("the claim is reported as unavailable, and is released")
def step_unavailable(context):
    assert isinstance(context.outcome, ClaimUnavailableError), context.outcome
    (release,) = context.ledger._unwritten_releases
    assert release.key, release
