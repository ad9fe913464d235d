"""Identification of repeated requests."""

import xxhash

#: field separator; no field can contain this byte.
_SEPARATOR = b"\x00"


def fingerprint(
    team: str, method: bytes, host: str, target: bytes, body: bytes | bytearray
) -> str:
    """Return a hash that is equal for repeats of the same request.

    Ids, deadlines, hop-by-hop headers and API keys are left out, since they may
    differ between repeats.

    :param team: the team of the request, ``""`` for none.
    :param target: path and query as sent.
    :param body: the complete body.
    :returns: 32 hexadecimal digits.
    """
    digest = xxhash.xxh3_128()
    for field in (team.encode(), method, host.encode(), target):
        digest.update(field)
        digest.update(_SEPARATOR)
    digest.update(body)
    return digest.hexdigest()
