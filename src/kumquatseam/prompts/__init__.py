"""Prompts whose parts are named by the caller, and who holds which parts."""

from kumquatseam.prompts._chain import PromptChain, PromptPart
from kumquatseam.prompts._index import PromptHolders, PromptIndex, PromptRead

__all__ = ["PromptChain", "PromptHolders", "PromptIndex", "PromptPart", "PromptRead"]
