"""Searching for the origin of a stream; import it only where a stream is taken up."""

import attrs

from kumquatseam.origins._messages import OriginQuery, OriginReply
from kumquatseam.origins._origins import StreamOrigins
from kumquatseam.upstreams import ServiceVersion

#: times that owners are asked, if some of them do not reply.
MAX_ROUNDS = 2


@attrs.frozen
class OriginSearch:
    """The result of a search for a stream's origin.

    :param origin: the origin, if it is known.
    :param source: who knew it: this instance by its name, or ``"owner"``.
    :param age_s: how long it has been known there.
    :param asked: the instances that were asked.
    :param is_complete: whether all of them replied.
    """

    origin: ServiceVersion | None = None
    source: str = ""
    age_s: float = 0.0
    asked: tuple[str, ...] = ()
    is_complete: bool = True


#: what is known before the list of instances was read.
_NOT_SEARCHED = OriginSearch(is_complete=False)


def find_origin(origins: StreamOrigins, key: bytes, owner_key: str) -> OriginSearch:
    """Return what this instance, or else the owners of a stream's origin know of it.

    :param origins: what this instance knows.
    :param key: the stream.
    :param owner_key: the key that selects its owners.
    """
    kept = origins.table.get(key)
    if kept is not None:
        age_s = origins.clock() - kept.since_s
        return OriginSearch(kept.origin, origins.name, age_s)
    if not origins.are_instances_known():
        return _NOT_SEARCHED
    return _ask_owners(origins, key, owner_key)


def _ask_owners(origins: StreamOrigins, key: bytes, owner_key: str) -> OriginSearch:
    owners = origins.owners.of(owner_key)
    asked = tuple(record.name for record in owners)
    replies: list[OriginReply] = []
    for _ in range(MAX_ROUNDS):
        query = OriginQuery(origins.owners.calls.next_number(), key)
        replies = origins.owners.call_all(owner_key, query, _is_known)
        known = next(filter(_is_known, replies), None)
        if known is not None:
            return _keep_reply(origins, key, known, asked)
        if len(replies) == len(owners):
            break
    return OriginSearch(asked=asked, is_complete=len(replies) == len(owners))


def _keep_reply(
    origins: StreamOrigins, key: bytes, reply: OriginReply, asked: tuple[str, ...]
) -> OriginSearch:
    origin = None
    if reply.service:
        origin = ServiceVersion(reply.service, reply.software_version)
    origins.table.put(key, origin, reply.keep_ms / 1000.0)
    return OriginSearch(origin, "owner", reply.age_ms / 1000.0, asked)


def _is_known(reply: OriginReply) -> bool:
    return reply.is_known
