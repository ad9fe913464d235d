"""Messages between instances, and their compact encoding."""

import math

import attrs

from kumquatseam.addresses import is_host_and_port
from kumquatseam.codec import MessageCodec
from kumquatseam.prompts import HolderUpdate, PromptPrefill
from kumquatseam.upstreams import LimitReport


@attrs.frozen
class InstanceRecord:
    """Addresses of an instance, as registered in the log.

    :param name: the instance's name.
    :param address: ``host:port`` at which it publishes over TCP and receives
        datagrams over UDP; empty if it has no peers.
    :param state_address: ``host:port`` at which it answers queries; empty if it
        answers none.
    :param link_mbps: speed of its network link; 0 if unknown.
    :param relay_address: ``host:port`` at which it opens tunnels to upstreams; empty
        if it opens none.
    :param zone: its availability zone; empty if unknown.
    """

    name: str
    address: str
    state_address: str = ""
    link_mbps: float = 0.0
    relay_address: str = ""
    zone: str = ""

    def __attrs_post_init__(self) -> None:
        addresses = filter(None, (self.address, self.state_address, self.relay_address))
        is_valid = all(map(is_host_and_port, addresses))
        if not (is_valid and 0 <= self.link_mbps < math.inf):
            raise ValueError("invalid address or speed")


@attrs.frozen
class UpstreamLoad:
    """Requests of one instance on one upstream.

    :param incarnation_id: the incarnation of the upstream.
    :param running: number of requests.
    :param pending_tokens: their prompt tokens that are not prefilled yet.
    """

    incarnation_id: str
    running: int
    pending_tokens: int = 0


@attrs.frozen
class LoadSummary:
    """All requests of an instance on upstreams.

    :param sender: the instance.
    :param loads: loads of the upstreams with at least one request.
    :param reads: prompts sent to upstreams for prefill since the last summary.
    :param held: updates of upstreams and stores about what they hold.
    :param limits: the limits that upstreams announced.
    """

    sender: str
    loads: tuple[UpstreamLoad, ...]
    reads: tuple[PromptPrefill, ...] = ()
    held: tuple[HolderUpdate, ...] = ()
    limits: tuple[LimitReport, ...] = ()


@attrs.frozen
class PresenceHeartbeat:
    """Heartbeat of an instance that others subscribe to and that sends no loads.

    :param sender: the instance.
    """

    sender: str


@attrs.frozen
class LeaseHeartbeat:
    """Heartbeat of the holder of a lease.

    :param duty: name of the duty that the lease covers.
    :param fence: fencing token, which is the log offset of its newest lease record.
    """

    duty: str
    fence: int


@attrs.frozen
class OrderCount:
    """Number of load orders that an engine accepted.

    :param incarnation_id: the incarnation of the engine.
    :param accepted: orders accepted since the engine started.
    """

    incarnation_id: str
    accepted: int


@attrs.frozen
class RolloutNotice:
    """Progress of a rollout of weights.

    :param sender: the instance that runs the rollout.
    :param fence: its fencing token; notices with a lower one are out of date.
    :param sequence: sequence number among the notices with this token.
    :param model: the model.
    :param version: version of the weights that are rolled out.
    :param loading: incarnations of upstreams that currently refuse requests for the
        model.
    :param closing: incarnations that load next and should get no new requests.
    :param ready: incarnations that serve the weights.
    :param destinations: incarnations that runs on loading upstreams are moved to.
    :param named_age_s: time since the version became the target, if known.
    :param replaced: the target version before this one, if known.
    :param orders: orders that each engine accepted; the next lease holder compares
        them with the counts that engines report.
    :param failed_tries: number of attempts to load the weights that ended in the
        engine's exit, if no engine has loaded them and there is no other cause.
    :param keep_runs: incarnations in ``loading`` whose runs do not move away: they
        end before the load, or continue on the weights that are loaded.
    :param destination_versions: version of the weights that each of ``destinations``
        runs; entries of the list may be older.
    """

    sender: str
    fence: int
    sequence: int
    model: str
    version: int
    loading: tuple[str, ...]
    closing: tuple[str, ...]
    ready: tuple[str, ...]
    destinations: tuple[str, ...] = ()
    named_age_s: float | None = None
    replaced: int | None = None
    orders: tuple[OrderCount, ...] = ()
    failed_tries: int = 0
    keep_runs: tuple[str, ...] = ()
    destination_versions: tuple[int, ...] = ()


RECORD_CODEC = MessageCodec("instance record", {"instance": InstanceRecord})
#: classes of this package's messages by their names on the wire.
MESSAGE_KINDS = {
    "load": LoadSummary,
    "presence": PresenceHeartbeat,
    "held": LeaseHeartbeat,
    "rollout": RolloutNotice,
}
