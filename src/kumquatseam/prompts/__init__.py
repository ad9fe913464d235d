"""Prompts with caller-defined parts, and an index of where the parts are cached.

A holder is an engine's KV cache or a store that keeps parts for several engines.

- :class:`PromptChain` is a prompt as a sequence of parts.
- :class:`PromptIndex` records which holder has which parts; :class:`PromptHolders`
  is its result for one prompt, and :class:`PartHolders` the interface of such
  results.
- :class:`PromptPrefill`, :class:`HeldPart` and :class:`HolderUpdate` are the updates
  to the index that instances exchange.
"""

from kumquatseam.prompts._chain import PromptChain, PromptPart
from kumquatseam.prompts._index import PartHolders, PromptHolders, PromptIndex
from kumquatseam.prompts._updates import HeldPart, HolderUpdate, PromptPrefill

__all__ = [
    "HeldPart",
    "HolderUpdate",
    "PartHolders",
    "PromptChain",
    "PromptHolders",
    "PromptIndex",
    "PromptPart",
    "PromptPrefill",
]
