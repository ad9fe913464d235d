"""A modelled fleet that remembers where streams began."""

import random

import attrs
from modelled_clock import Clock
from modelled_fibers import FiberNet
from modelled_net import ModelledLink

from kumquatseam.codec import MessageCodec
from kumquatseam.origins import (
    DATAGRAM_KINDS,
    OriginParts,
    StreamOrigins,
)
from kumquatseam.origins.keys import stream_key
from kumquatseam.origins.search import OriginSearch
from kumquatseam.peers import InstanceRecord
from kumquatseam.upstreams import ServiceVersion

CODEC = MessageCodec("datagram", DATAGRAM_KINDS, is_compact=True)
ZONES = ("kobanya", "angyalfold", "budaors")
TEAM = "alpha"
#: bytes of the headers of IP and UDP.
DATAGRAM_HEADER_BYTES = 28


class OriginInstance:
    """One instance of the fleet.

    :param fleet: the fleet.
    :param record: its registered record.
    """

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.start()

    def start(self):
        """Start with an empty memory."""
        fleet = self.fleet
        self.is_up = True
        self.started_s = fleet.clock()
        self.link = ModelledLink(fleet.net, self.record.address)
        self.origins = StreamOrigins(
            OriginParts(
                self.record.name,
                lambda: fleet.records,
                self.link,
                clock=fleet.clock,
                wait=fleet.net.wait,
            )
        )


@attrs.define
class ModelledStream:
    """A stream, and what was found when it was taken up.

    :param key: its key.
    :param origin: what began it.
    :param begun_at: the instance that passed on its first event.
    :param found: the result of the search; ``None`` if it was not taken up.
    :param took_s: how long the search took.
    :param is_in_touch: whether both instances and most owners were in touch.
    """

    key: bytes
    origin: ServiceVersion
    begun_at: str
    found: OriginSearch | None = None
    took_s: float = 0.0
    is_in_touch: bool = True


class OriginFleet:
    """Instances that remember where streams began.

    :param count: number of instances.
    :param seed: seed of all draws.
    """

    def __init__(self, count, seed=1):
        self.clock = Clock()
        self.draw = random.Random(seed)
        self.net = FiberNet(self.clock, self.draw, CODEC)
        self.records = tuple(
            InstanceRecord(
                f"i{n}", f"10.0.{n // 250}.{n % 250}:1", zone=ZONES[n % len(ZONES)]
            )
            for n in range(count)
        )
        self.instances = [OriginInstance(self, r) for r in self.records]
        self.net.endpoints = {i.record.address: i for i in self.instances}
        self.streams = []

    def begin(self, instance=None, keep_s=10.0, version=None):
        """Begin a stream at an instance, a random one by default."""
        instance = instance or self.draw.choice(self.up())
        number = len(self.streams)
        version = version or self.draw.choice(("v1", "v2", "v3"))
        origin = ServiceVersion("engines", version)
        stream = ModelledStream(
            stream_key(TEAM, f"s{number}"), origin, instance.record.name
        )
        self.streams.append(stream)
        instance.origins.note(stream.key, origin, keep_s)
        return stream

    def take_up(self, stream, instance=None):
        """Search for the origin of a stream at another instance."""
        others = [i for i in self.up() if i.record.name != stream.begun_at]
        instance = instance or self.draw.choice(others)
        started_s = self.clock()

        def search():
            stream.found = instance.origins.find(stream.key)
            stream.took_s = self.clock() - started_s

        self.net.spawn(search)

    def up(self):
        return [i for i in self.instances if i.is_up]

    def run(self, for_s):
        self.net.run_until(self.clock() + for_s)

    def owners_of(self, stream):
        """Return the instances that own the origin of a stream."""
        origins = self.instances[0].origins
        names = {r.name for r in origins.owners_of(stream.key)}
        return [i for i in self.instances if i.record.name in names]

    def bytes_per_instance(self):
        """Return the mean of the bytes sent and received, with their headers."""
        payload = sum(self.net.bytes_by_address.values()) / len(self.instances)
        headers = 2 * self.net.sent * DATAGRAM_HEADER_BYTES / len(self.instances)
        return payload + headers
