"""How much of a response its caller has received, and what may still follow."""

import enum


class ResponsePhase(enum.Enum):
    """The phase of the response to one request, as its caller sees it."""

    #: nothing was sent: the request may be refused, or sent to any upstream.
    NOT_STARTED = "not started"
    #: a head, and whole events of a stream: another upstream may go on with it.
    EVENTS = "in its events"
    #: a head and a part of one upstream's body: only that one has the rest.
    BODY = "in its body"
    #: all of it: nothing may follow.
    COMPLETE = "complete"

    @property
    def has_begun(self) -> bool:
        """Whether any byte may have been sent: no other head may follow."""
        return self is not ResponsePhase.NOT_STARTED

    def may_change_upstream(self, is_resumable: bool) -> bool:
        """Return whether another upstream may send what is missing.

        :param is_resumable: whether streams of the route can be resumed.
        """
        if self is ResponsePhase.EVENTS:
            return is_resumable
        return self is ResponsePhase.NOT_STARTED
