"""Tokens and block keys, which the router and the engines compute alike.

Engines cache KV state per block of ``block_size_tokens`` tokens. A block's key
is an xxHash (XXH3, 64 bit) seeded with the key of the previous block, so that
it identifies the whole prefix up to and including that block. The first block's
seed is the hash of the cache salt sent by the router (team, model and version,
see :func:`cache_salt`). A key therefore only matches requests of the same team
and the same weights. It does not depend on the engine's epoch, which changes at
every engine start: the router's index is scoped by epoch instead (see
:mod:`kumquatseam.routing`), so that no cached block of an earlier epoch is
credited to an engine.

Tokens are split at whitespace, because every tokenizer library needs a
downloaded vocabulary; stand-in engines and the router share this function.

Example::

    >>> keys = block_keys(tokenize("a b c d"), 2, salt_seed("salt"))
    >>> len(keys)
    2
"""

import itertools
import re
from collections.abc import Iterable, Iterator

import attrs
import xxhash

_TOKEN = re.compile(r"\S+")
_SEPARATOR = b"\x1f"


def tokenize(text: str) -> list[str]:
    """Split ``text`` into tokens: maximal runs of non-space characters."""
    return _TOKEN.findall(text)


@attrs.frozen
class PromptTokens:
    """The tokens of a prompt, split anew each time they are read.

    Use it where a prompt is kept: a list of its tokens takes many times its size.

    :param text: the prompt.
    """

    text: str

    def __iter__(self) -> Iterator[str]:
        return (match.group() for match in _TOKEN.finditer(self.text))


def cache_salt(team: str, model: str, version: str) -> str:
    """Return the cache salt that scopes blocks to a team and weights version.

    :param team: the team's name.
    :param model: the model's name.
    :param version: the weights version.
    :returns: a hex string, sent to engines as ``cache_salt``.
    """
    return xxhash.xxh3_128_hexdigest(f"{team}\x1f{model}\x1f{version}".encode())


def salt_seed(salt: str) -> int:
    """Return the 64-bit seed of the first block.

    :param salt: from :func:`cache_salt`.
    """
    return xxhash.xxh3_64_intdigest(salt.encode())


def block_keys(tokens: Iterable[str], block_size_tokens: int, seed: int) -> list[int]:
    """Return the chained keys of the prompt's full blocks.

    A partial last block has no key: engines cache only full blocks.

    :param tokens: from :func:`tokenize`.
    :param block_size_tokens: tokens per block.
    :param seed: from :func:`salt_seed`.
    :returns: one 64-bit key per full block, in order.
    """
    keys = []
    parent = seed
    rest = iter(tokens)
    while len(block := list(itertools.islice(rest, block_size_tokens))) == (
        block_size_tokens
    ):
        chunk = _SEPARATOR.join(token.encode() for token in block)
        parent = xxhash.xxh3_64_intdigest(chunk, seed=parent)
        keys.append(parent)
    return keys
