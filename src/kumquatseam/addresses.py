"""Checks of network addresses that others state."""

import re

_ADDRESS = re.compile(r"[\x21-\x7e]{1,253}:([0-9]{1,5})")
_MAX_PORT = 65_535


def is_host_and_port(text: str) -> bool:
    """Return whether a text is a ``host:port`` with a valid port.

    Others raise errors of many kinds where they are used, or lead to another port.
    """
    match = _ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match[1]) <= _MAX_PORT
