"""What instances tell each other, and its compact form on the wire."""

import attrs

from kumquatseam.codec import MessageCodec
from kumquatseam.prompts import HolderUpdate, PromptPrefill


@attrs.frozen
class InstanceRecord:
    """Where an instance publishes.

    :param name: the instance's name.
    :param address: ``host:port`` it publishes at over TCP, and takes datagrams at
        over UDP.
    :param state_address: ``host:port`` it answers questions at, if it does.
    :param link_mbps: speed of its link; 0 if it is not known.
    """

    name: str
    address: str
    state_address: str = ""
    link_mbps: float = 0.0


@attrs.frozen
class UpstreamLoad:
    """Requests of one instance on one upstream.

    :param incarnation_id: the incarnation of an upstream.
    :param running: requests.
    :param pending_tokens: prompt tokens it still has to read for them.
    """

    incarnation_id: str
    running: int
    pending_tokens: int = 0


@attrs.frozen
class LoadSummary:
    """Every request an instance has on upstreams.

    :param sender: the instance.
    :param loads: upstreams with at least one.
    :param reads: what upstreams were given to read since the last summary.
    :param held: what upstreams and stores said that they keep.
    """

    sender: str
    loads: tuple[UpstreamLoad, ...]
    reads: tuple[PromptPrefill, ...] = ()
    held: tuple[HolderUpdate, ...] = ()


@attrs.frozen
class Presence:
    """An instance that others listen to is there, and has nothing else to tell.

    :param sender: the instance.
    """

    sender: str


@attrs.frozen
class LeaseHeartbeat:
    """The sender holds a duty's lease.

    :param duty: the duty's name.
    :param fence: the offset of its newest lease record.
    """

    duty: str
    fence: int


@attrs.frozen
class OrderCount:
    """How many orders an engine accepted.

    :param incarnation_id: the incarnation of the engine.
    :param accepted: orders accepted since it started.
    """

    incarnation_id: str
    accepted: int


@attrs.frozen
class RolloutNotice:
    """How far a rollout of weights is.

    :param sender: the instance that gives the orders.
    :param fence: its fencing token; a lower one is out of date.
    :param sequence: counts the notices under one token.
    :param model: the model.
    :param version: the weights being rolled out.
    :param loading: incarnations of upstreams that refuse work of the model for now.
    :param closing: those that load next and should get no new work.
    :param ready: those that run the weights.
    :param destinations: those that take the runs of those that load.
    :param named_age_s: how long ago the weights were named, if known.
    :param replaced: the version they were named in place of, if known.
    :param orders: orders that engines accepted; a successor expects as many.
    :param failed_tries: how many tries to load the weights ended their engines, none
        having loaded them and nothing else explaining it.
    :param keep_runs: those of ``loading`` whose runs go on under the weights loaded.
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


RECORD_CODEC = MessageCodec("instance record", {"instance": InstanceRecord})
#: what this package's parts tell each other, by name on the wire.
MESSAGE_KINDS = {
    "load": LoadSummary,
    "presence": Presence,
    "held": LeaseHeartbeat,
    "rollout": RolloutNotice,
}
