"""Prompts whose parts are named by the caller."""

import attrs


@attrs.frozen
class PromptPart:
    """A part of a prompt that requests may share.

    :param part_id: equal ids mean equal content.
    :param tokens: its length.
    """

    part_id: str
    tokens: int


@attrs.frozen
class PromptChain:
    """A prompt as nested parts; the last belongs to this request alone.

    :param parts: in prompt order.
    """

    parts: tuple[PromptPart, ...] = ()

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """The length of the parts that other requests may share."""
        return sum(part.tokens for part in self.shared)

    @property
    def tokens(self) -> int:
        """The whole prompt's length."""
        return sum(part.tokens for part in self.parts)
