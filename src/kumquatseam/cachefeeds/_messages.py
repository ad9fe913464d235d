"""Messages between instances about the cache contents of holders."""

import attrs

from kumquatseam.prompts import HolderUpdate


@attrs.frozen
class IndexQuery:
    """Query for an instance's index of holders' cache contents.

    :param asker: the name of the querying instance.
    """

    asker: str


@attrs.frozen
class IndexReply:
    """Reply with an instance's index of holders' cache contents.

    :param holders: one full update per holder.
    """

    holders: tuple[HolderUpdate, ...] = ()


#: queries and replies by their kind on the wire.
QUERY_KINDS = {"index_question": IndexQuery, "index_answer": IndexReply}
