"""Steps for a list of upstreams that is restored from an older copy."""

import collections
import json

from behave import given, then, when
from log_return_steps import SingleInstance

from kumquatseam.feeds import TopicCopy
from kumquatseam.logservice import KeyedBatch
from kumquatseam.placement import PlacementRequest, Placer
from kumquatseam.platform._topics import UPSTREAM_TOPIC, UpstreamListener
from kumquatseam.prompts import PromptChain, PromptIndex
from kumquatseam.routes import ServiceTraits
from kumquatseam.upstreams import UpstreamDirectory, WeightsTargets

SERVICE = ServiceTraits("plain")
BORN_MS = 1_700_000_000_000
COPIED_SEQUENCE = 5
DRAINING_SEQUENCE = 7


def entry(**more):
    """Return an entry of the list."""
    fields = {
        "service": SERVICE.name,
        "address": "10.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldLeftMs": 0,
        "sequence": COPIED_SEQUENCE,
        "born": BORN_MS,
    }
    return json.dumps({**fields, **more}).encode()


def engine_entry(version, **more):
    """Return an entry of an engine that runs a version of its weights."""
    return entry(models=[{"name": "m0", "version": version, "adapters": []}], **more)


class ListInstance(SingleInstance):
    """An instance that follows the list of upstreams without peers."""

    def __init__(self):
        self.written = {}
        self.directory = UpstreamDirectory(lambda: self.clock())
        self.listener = UpstreamListener(self.directory)
        super().__init__(UPSTREAM_TOPIC, self.listener)

    def write(self, key, value):
        self.written[key] = value
        super().write(key, value)
        self.update = self.read()

    def read(self):
        """Read the list; return the update for other instances."""
        known_offset = self.copy.next_offset
        effective = self.copy.apply(self.reader.read(known_offset))
        return KeyedBatch(known_offset, self.copy.next_offset, effective)

    def copy_list(self):
        self.kept = self.store.copy_topics()

    def restore(self):
        self.store.return_from(self.kept)

    def placed(self):
        """Return the upstreams that some requests are placed on."""
        placer = Placer(self.directory, PromptIndex(), "z", WeightsTargets())
        found = collections.Counter()
        for number in range(20):
            request = PlacementRequest(
                f"p{number}", SERVICE, None, "", PromptChain(), frozenset(), 1
            )
            placement = placer.place(request)
            found[placement.status.upstream.upstream_id] += 1
            # So that the next one is placed on another.
            placement.status.running += 1
        for status in self.directory.all():
            status.running -= found[status.upstream.upstream_id]
        return set(found)


def names(text):
    return set(text.split(" and "))


@given("an instance that follows the list, with the upstreams r1 and r2")
def step_follow_list(context):
    context.list = ListInstance()
    for name in ("r1", "r2"):
        context.list.write(name, entry())
    assert context.list.placed() == {"r1", "r2"}


@when("the list is copied")
def step_list_copied(context):
    context.list.copy_list()


@when("r1 says that it drains")
def step_drains(context):
    drained = entry(state="draining", sequence=DRAINING_SEQUENCE)
    context.list.write("r1", drained)
    assert context.list.placed() == {"r2"}


@when("r1 loses its entry")
def step_loses_entry(context):
    context.list.write("r1", b"")
    assert context.list.placed() == {"r2"}


@when("r1 says that it drains, and its entry goes")
def step_drains_and_goes(context):
    step_drains(context)
    step_loses_entry(context)


@when("r1 starts again, and its entry goes")
def step_starts_again_and_goes(context):
    context.list.write("r1", entry(sequence=1, born=BORN_MS + 1000))
    step_loses_entry(context)


@when("the list is restored from the copy")
def step_list_restored(context):
    context.list.restore()
    context.list.read()


@when("the list is restored from the copy, but not read")
def step_restored_unread(context):
    context.list.restore()


@when("the list is restored from the copy, and r1 writes first that it is ready")
def step_restored_with_newer(context):
    context.list.restore()
    context.list.write("r1", entry(sequence=DRAINING_SEQUENCE + 1))


@when("another instance reads the list for the first time")
def step_other_reads(context):
    context.other = ListInstance()
    context.other.log = context.list.log
    context.other.reader = context.list.reader
    context.other.read()
    assert context.other.placed() == {"r1", "r2"}


@when("the same is written again, and read by the first instance only")
def step_written_again(context):
    context.list.write("r1", context.list.written["r1"])


@then("its update tells the other instance to place requests on {expected}")
def step_update(context, expected):
    assert context.other.copy.can_apply(context.list.update)
    context.other.copy.apply(context.list.update)
    assert context.other.placed() == names(expected), context.other.placed()


@then(
    "the other instance places requests on {expected}, by that update or by reading "
    "the list"
)
def step_update_or_read(context, expected):
    if context.other.copy.can_apply(context.list.update):
        context.other.copy.apply(context.list.update)
    else:
        context.other.read()
    assert context.other.placed() == names(expected), context.other.placed()


@when("r1's entry says {state}, with {what}")
def step_entry_says(context, state, what):
    more = {
        "the sequence of the copy": {},
        "the sequence of its draining": {"sequence": DRAINING_SEQUENCE},
        "a higher sequence": {"sequence": DRAINING_SEQUENCE + 1},
        "a lower sequence and a new born": {"sequence": 1, "born": BORN_MS + 1000},
    }[what]
    context.list.write("r1", entry(state=state, **more))


@when("r1's entry expires in an outage")
def step_expires_in_outage(context):
    context.list.store.append(UPSTREAM_TOPIC, [b"\x02r1"])
    copy = context.list.copy
    copy.apply(context.list.reader.read(copy.next_offset), outage_age_s=0.5)


@when("r1's entry becomes unreadable")
def step_becomes_unreadable(context):
    context.list.write("r1", b"{")
    assert context.list.placed() == {"r2"}


@when("{seconds:d} seconds pass for the list")
def step_list_seconds(context, seconds):
    for _ in range(seconds):
        context.list.clock.now_s += 1.0
        context.list.read()
        context.list.directory.sweep()


@when("r1 says that it runs weights {version:d}")
def step_runs_weights(context, version):
    context.sequence = getattr(context, "sequence", COPIED_SEQUENCE) + 1
    context.list.write("r1", engine_entry(version, sequence=context.sequence))


@when("r1 says for 5 seconds that it runs weights {version:d}")
def step_runs_weights_for(context, version):
    step_runs_weights(context, version)
    step_list_seconds(context, 5)


@when("r1 starts again with weights {version:d}")
def step_starts_with_weights(context, version):
    value = engine_entry(version, sequence=1, born=BORN_MS + 1000)
    context.list.write("r1", value)


@when("the list is read again")
def step_list_read(context):
    context.list.read()


@then("r1 is known to run weights {version:d}")
def step_known_weights(context, version):
    directory = context.list.directory
    status = directory.status(directory.incarnation_of("r1"))
    assert status.version_of("m0") == version, status.version_of("m0")


@then("requests are placed on {expected}")
def step_placed(context, expected):
    assert context.list.placed() == names(expected), context.list.placed()


@then("an instance that asks this one for the list places requests on {expected}")
def step_asked(context, expected):
    other = ListInstance()
    TopicCopy(other.listener, other.clock).apply(context.list.copy.snapshot())
    assert other.placed() == names(expected), other.placed()
