"""Printing a story, for people and for programs."""

import json

import attrs

from kumquatseam.explain._story import Story


def story_text(story: Story) -> str:
    """Return ``story`` as text."""
    parts = [f"request {story.request_id}", *(line.text() for line in story.lines)]
    if story.background:
        parts.append("meanwhile, of the upstreams it met:")
        parts += [line.text() for line in story.background]
    parts.append(f"cause: {story.cause}")
    return "\n".join(parts)


def story_json(story: Story) -> str:
    """Return ``story`` as one JSON object."""
    return json.dumps(attrs.asdict(story), default=str)
