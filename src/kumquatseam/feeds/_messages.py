"""Messages between instances about topics."""

import attrs

from kumquatseam.logservice import KeyedBatch
from kumquatseam.peers import InstanceRecord


@attrs.frozen
class TopicUpdate:
    """Broadcast of the changes found by one read of a topic.

    :param sender: the instance that read the topic.
    :param topic: the topic.
    :param batch: the effective changes; empty if there are none.
    :param oversize: keys of changed values too large to broadcast; receivers read
        them from the log.
    :param outage_age_s: how long ago the sender last could not reach the log;
        ``None`` if not recently.
    :param is_relayed: forwarded by a leader to instances that do not receive from
        the sender.
    """

    sender: str
    topic: str
    batch: KeyedBatch
    oversize: tuple[str, ...] = ()
    outage_age_s: float | None = None
    is_relayed: bool = False


@attrs.frozen
class TopicQuery:
    """Query for an instance's full copy of a topic.

    :param topic: the topic.
    :param asker: the record of the querying instance, which the receiver may not
        have in its list yet.
    :param known_offset: the next offset of the asker's copy.
    """

    topic: str
    asker: InstanceRecord
    known_offset: int = 0


@attrs.frozen
class TopicReply:
    """Reply with an instance's full copy of a topic.

    :param age_s: how long ago the copy was known to be complete.
    :param batch: the full copy; ``None`` if it is no newer than the asker's.
    """

    age_s: float
    batch: KeyedBatch | None = None


#: queries and replies by their kind on the wire.
QUERY_KINDS = {"question": TopicQuery, "answer": TopicReply}
