"""Prompts with caller-defined parts."""

import attrs


@attrs.frozen
class PromptPart:
    """A part of a prompt, which several requests may share.

    :param part_id: identifies the content; equal ids mean equal content.
    :param tokens: its length.
    """

    part_id: str
    tokens: int


@attrs.frozen
class PromptChain:
    """A prompt as a sequence of parts; only the last is specific to the request.

    :param parts: in prompt order.
    """

    parts: tuple[PromptPart, ...] = ()

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """All parts but the last, which other requests may share."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """The total length of the shared parts."""
        return sum(part.tokens for part in self.shared)

    @property
    def tokens(self) -> int:
        """The length of the whole prompt."""
        return sum(part.tokens for part in self.parts)
