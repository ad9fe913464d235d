"""Prompts whose parts are named by the caller, and who holds which parts.

- :class:`PromptChain` is a prompt as nested parts.
- :class:`PromptIndex` knows who holds which parts; :class:`PromptHolders` is its
  answer for one prompt, and :class:`PartHolders` the interface of such answers.
- :class:`PromptPrefill`, :class:`HeldPart` and :class:`HolderUpdate` are what is
  told of them.
"""

from kumquatseam.prompts._chain import PromptChain, PromptPart
from kumquatseam.prompts._held import HeldPart, HolderUpdate, PromptPrefill
from kumquatseam.prompts._index import PartHolders, PromptHolders, PromptIndex

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
