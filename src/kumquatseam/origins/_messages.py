"""Messages that instances exchange about origins of streams."""

import attrs


@attrs.frozen
class OriginNotice:
    """Tells an owner of a stream's origin where it began.

    :param key: the stream.
    :param service: the service that began it.
    :param software_version: the version that began it.
    :param keep_ms: how long to keep it.
    """

    key: bytes
    service: str
    software_version: str
    keep_ms: int


@attrs.frozen
class OriginQuery:
    """Asks an owner where a stream began.

    :param number: the query's number, repeated in the reply.
    :param key: the stream.
    """

    number: int
    key: bytes


@attrs.frozen
class OriginReply:
    """Answers an :class:`OriginQuery`.

    :param number: number of the query.
    :param is_known: whether the owner was told of the stream.
    :param service: the service that began it; empty if the owner was told of streams
        with different origins.
    :param software_version: the version that began it, likewise.
    :param age_ms: since when the owner knows it.
    :param keep_ms: how long the owner still keeps it.
    """

    number: int
    is_known: bool
    service: str = ""
    software_version: str = ""
    age_ms: int = 0
    keep_ms: int = 0


#: datagram messages by their kind on the wire.
DATAGRAM_KINDS = {
    "origin": OriginNotice,
    "origin?": OriginQuery,
    "origin=": OriginReply,
}
