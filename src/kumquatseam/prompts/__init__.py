"""Prompts whose parts are named by the caller, and who holds which parts."""

from kumquatseam.prompts._chain import PromptChain, PromptPart
from kumquatseam.prompts._index import PromptIndex, PromptRead

__all__ = ["PromptChain", "PromptIndex", "PromptPart", "PromptRead"]
