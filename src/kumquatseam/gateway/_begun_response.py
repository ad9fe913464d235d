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
