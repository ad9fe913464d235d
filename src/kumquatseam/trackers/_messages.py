"""What instances and trackers tell each other, and its compact form."""

import attrs

from kumquatseam.prompts import PromptPart


@attrs.frozen
class LoadQuestion:
    """Asks a tracker for the work on some upstreams.

    :param number: names the question; the answer repeats it.
    :param holders: the upstreams and stores asked about, by incarnation or address.
    :param salts: the scope of cached parts for each of them.
    :param parts: the parts of a prompt that requests may share.
    """

    number: int
    holders: tuple[str, ...]
    salts: tuple[str, ...] = ()
    parts: tuple[PromptPart, ...] = ()


@attrs.frozen
class TrackedLoad:
    """The work on one upstream, and what it keeps of a prompt.

    :param holder: the upstream or store.
    :param salt: the scope asked about.
    :param running: requests on it.
    :param pending_tokens: prompt tokens it still has to read for them.
    :param memory_tokens: memory they take, in tokens.
    :param held_tokens: leading tokens of the prompt it has or is reading.
    :param settled_tokens: those of them that can be fetched from it.
    :param kept_s: how long it keeps a part that nobody asks for.
    """

    holder: str
    salt: str = ""
    running: int = 0
    pending_tokens: int = 0
    memory_tokens: int = 0
    held_tokens: int = 0
    settled_tokens: int = 0
    kept_s: float = 0.0


@attrs.frozen
class LoadAnswer:
    """Answers a question.

    :param number: the question's.
    :param sender: the tracker.
    :param loads: what it knows, one for each holder and scope asked about.
    """

    number: int
    sender: str
    loads: tuple[TrackedLoad, ...] = ()


@attrs.frozen
class WorkBegan:
    """A request was sent to an upstream.

    :param work_id: names it among all instances.
    :param holder: the upstream.
    :param salt: the scope of its cached parts.
    :param parts: the parts of its prompt that requests may share.
    :param pending_tokens: prompt tokens to read for it.
    :param own_tokens: memory it takes beyond the shared parts.
    :param lasts_ms: it has ended after this long, whether or not it is told.
    """

    work_id: str
    holder: str
    salt: str
    parts: tuple[PromptPart, ...]
    pending_tokens: int
    own_tokens: int
    lasts_ms: int


@attrs.frozen
class WorkRead:
    """The prompt of a request was read: its answer began.

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
class PartsGiven:
    """A store is about to be sent parts.

    :param holder: the store's address.
    :param salt: their scope.
    :param parts: the parts.
    """

    holder: str
    salt: str
    parts: tuple[PromptPart, ...]


#: the classes of this module, by name on the wire.
TRACKER_KINDS = {
    "ask": LoadQuestion,
    "load": LoadAnswer,
    "began": WorkBegan,
    "read": WorkRead,
    "ended": WorkEnded,
    "given": PartsGiven,
}
