"""Decisions on the requests that an instance carries for others."""

import abc

from kumquatseam.http1 import Headers, ResponseHead


class TunnelTraffic(abc.ABC):
    """Decides on the requests that an instance carries for others."""

    @abc.abstractmethod
    def closed_for_s(self, headers: Headers) -> float:
        """Return for how long a request must not be sent; 0 if it may be.

        :param headers: its header fields.
        """

    @abc.abstractmethod
    def note_sent(self, headers: Headers) -> None:
        """Handle that a request is sent."""

    @abc.abstractmethod
    def is_answer(self, headers: Headers, head: ResponseHead) -> bool:
        """Return whether a response is the one to a request.

        Otherwise it is a late one to an earlier request.

        :param headers: the request's header fields.
        """

    @abc.abstractmethod
    def note_response(
        self, headers: Headers, head: ResponseHead, sent_s: float
    ) -> None:
        """Handle the head of the response to a request.

        :param headers: the request's header fields.
        :param sent_s: when the request was sent, in monotonic time.
        """


class UnboundTraffic(TunnelTraffic):
    """Lets every request pass."""

    def closed_for_s(self, headers: Headers) -> float:
        return 0.0

    def note_sent(self, headers: Headers) -> None:
        pass

    def is_answer(self, headers: Headers, head: ResponseHead) -> bool:
        return True

    def note_response(
        self, headers: Headers, head: ResponseHead, sent_s: float
    ) -> None:
        pass
