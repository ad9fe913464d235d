"""Keys of streams."""

import hashlib

#: long enough that no caller finds an attempt with the key of another team's.
KEY_BYTES = 12


def stream_key(team: str, request_id: str) -> bytes:
    """Return the key of a stream among those of all teams.

    :param team: the team that the stream belongs to, ``""`` for none.
    :param request_id: the id of its caller's attempt that brought the first event.
    """
    name = team.encode()
    data = b"%d:%b%b" % (len(name), name, request_id.encode())
    return hashlib.blake2b(data, digest_size=KEY_BYTES).digest()
