"""The response that a caller has received a part of."""

import attrs

from kumquatseam.http1 import ResponseHead


@attrs.frozen
class BegunResponse:
    """Which upstream began the response to a request, and with what head.

    The caller keeps that head, whichever upstream sends the rest.

    :param upstream: the incarnation that began it.
    :param head: its status line and headers.
    """

    upstream: str
    head: ResponseHead

    def mismatch(self, head: ResponseHead) -> str:
        """Return why a response cannot be the rest of this one; ``""`` if it can."""
        if head.status != self.head.status:
            return f"status {head.status} instead of a resumed stream"
        begun_type, media_type = _media_type(self.head), _media_type(head)
        if begun_type and media_type and media_type != begun_type:
            return f"{media_type!r} instead of a resumed stream"
        return ""


def _media_type(head: ResponseHead) -> str:
    """Return the media type of a body without its parameters; ``""`` if not stated."""
    stated = head.headers.text(b"content-type")
    return stated.partition(";")[0].strip().lower()
