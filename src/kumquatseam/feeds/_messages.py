"""What instances tell and ask each other about topics."""

import attrs

from kumquatseam.logservice import KeyedBatch
from kumquatseam.peers import InstanceRecord


@attrs.frozen
class TopicUpdate:
    """What one read of a topic brought, told by the instance that read it.

    :param sender: that instance.
    :param topic: the topic.
    :param batch: what is new, without what changed nothing.
    :param oversize: keys of new values too large to be told; who needs them
        reads the log.
    :param outage_age_s: how long ago the log was last out of the sender's reach;
        ``None`` if not lately.
    :param is_relayed: handed on by a leader, for those that do not listen to the
        sender.
    """

    sender: str
    topic: str
    batch: KeyedBatch
    oversize: tuple[str, ...] = ()
    outage_age_s: float | None = None
    is_relayed: bool = False


@attrs.frozen
class TopicQuestion:
    """Asks an instance for all it knows of a topic.

    :param topic: the topic.
    :param asker: the instance that asks; the other may not know of it.
    :param known_offset: how far the asker knows it.
    """

    topic: str
    asker: InstanceRecord
    known_offset: int = 0


@attrs.frozen
class TopicAnswer:
    """All that an instance knows of a topic.

    :param age_s: how long ago that was known to be complete.
    :param batch: everything; ``None`` if it knows no more than the asker.
    """

    age_s: float
    batch: KeyedBatch | None = None


#: the classes of this package, by name on the wire.
QUERY_KINDS = {"question": TopicQuestion, "answer": TopicAnswer}
