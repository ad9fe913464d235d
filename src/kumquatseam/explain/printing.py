"""Formatting explanations as text or JSON."""

import json

import attrs

from kumquatseam.explain._explanation import RequestExplanation


def explanation_text(explanation: RequestExplanation) -> str:
    """Return ``explanation`` as text."""
    parts = [
        f"request {explanation.request_id}",
        *(line.text() for line in explanation.lines),
    ]
    if explanation.background:
        parts.append("around the same time, about its upstreams:")
        parts += [line.text() for line in explanation.background]
    parts.append(f"cause: {explanation.cause}")
    return "\n".join(parts)


def explanation_json(explanation: RequestExplanation) -> str:
    """Return ``explanation`` as one JSON object."""
    return json.dumps(attrs.asdict(explanation), default=str)
