"""Messages between instances and trackers, encoded compactly by field position."""

import attrs

from kumquatseam.prompts import PromptPart
from kumquatseam.upstreams import LimitReport


@attrs.frozen
class LoadQuery:
    """Queries a tracker for the load of some upstreams.

    :param number: identifies the query; repeated in the reply.
    :param holders: the queried upstreams (incarnation ids) and stores (addresses).
    :param salts: the cache salt for each of them.
    :param parts: the shared parts of the prompt to be placed.
    """

    number: int
    holders: tuple[str, ...]
    salts: tuple[str, ...] = ()
    parts: tuple[PromptPart, ...] = ()


@attrs.frozen
class TrackedLoad:
    """The load of one upstream, and how much of a prompt it has cached.

    :param holder: the upstream or store.
    :param salt: the queried cache salt.
    :param running: number of requests on it.
    :param pending_tokens: prompt tokens it still has to prefill for them.
    :param memory_tokens: memory they use, in tokens.
    :param held_tokens: leading tokens of the prompt that it has or is prefilling.
    :param settled_tokens: leading tokens that can be fetched from it now.
    :param kept_s: how long it keeps a part that is not used again.
    :param limit: the limit that it announced, if any.
    :param used_up_ms: time until it has room for a request by that limit, or a free
        place if it is brittle; 0 if it has.
    :param brittle: what upstreams of its service bear, if they are brittle.
    """

    holder: str
    salt: str = ""
    running: int = 0
    pending_tokens: int = 0
    memory_tokens: int = 0
    held_tokens: int = 0
    settled_tokens: int = 0
    kept_s: float = 0.0
    limit: LimitReport | None = None
    used_up_ms: int = 0
    brittle: LimitReport | None = None


@attrs.frozen
class LoadReply:
    """The reply to a :class:`LoadQuery`.

    :param number: the number of the query.
    :param sender: name of the tracker.
    :param loads: one item for each queried holder and salt.
    """

    number: int
    sender: str
    loads: tuple[TrackedLoad, ...] = ()


@attrs.frozen
class WorkBegan:
    """A request was sent to an upstream.

    :param work_id: identifies the request across all instances.
    :param holder: the upstream.
    :param salt: the cache salt of the request.
    :param parts: the shared parts of its prompt.
    :param pending_tokens: prompt tokens to be prefilled for it.
    :param own_tokens: memory it uses in addition to the shared parts.
    :param lasts_ms: time after which it expires if no end is reported.
    """

    work_id: str
    holder: str
    salt: str
    parts: tuple[PromptPart, ...]
    pending_tokens: int
    own_tokens: int
    lasts_ms: int


@attrs.frozen
class WorkPrefilled:
    """The prompt of a request was prefilled: its response began.

    :param work_id: the request.
    """

    work_id: str


@attrs.frozen
class WorkEnded:
    """A request is no longer on its upstream.

    :param work_id: the request.
    """

    work_id: str


@attrs.frozen
class PartsSent:
    """Parts are about to be copied to a store.

    :param holder: the store's address.
    :param salt: the cache salt of the parts.
    :param parts: the parts.
    """

    holder: str
    salt: str
    parts: tuple[PromptPart, ...]


#: message classes by their kind on the wire.
TRACKER_KINDS = {
    "ask": LoadQuery,
    "load": LoadReply,
    "began": WorkBegan,
    "read": WorkPrefilled,
    "ended": WorkEnded,
    "given": PartsSent,
}
