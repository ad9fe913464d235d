"""When the events of a response arrived, over all attempts at its request."""

import time

import attrs


@attrs.define
class EventTimes:
    """Times of one response, in monotonic seconds.

    :param received_s: when the request arrived.
    :param sent_s: when the current attempt was sent; ``None`` until then.
    :param attempt_first_event_s: when its first event arrived; ``None`` until then.
    :param first_event_s: from the request's arrival to the first event of all attempts.
    :param last_event_s: when the newest event arrived.
    :param paused_since_s: time of the last event before an interrupted stream.
    """

    received_s: float
    sent_s: float | None = None
    attempt_first_event_s: float | None = None
    first_event_s: float | None = None
    last_event_s: float | None = None
    paused_since_s: float | None = None

    def begin_attempt(self) -> None:
        """Forget the times of the attempt before."""
        self.sent_s = self.attempt_first_event_s = None

    def note_event(self) -> bool:
        """Record that events arrived now.

        :returns: whether they are the first ones of all attempts.
        """
        now_s = time.monotonic()
        if self.attempt_first_event_s is None:
            self.attempt_first_event_s = now_s
        is_first = self.first_event_s is None
        if is_first:
            self.first_event_s = now_s - self.received_s
        self.last_event_s = now_s
        return is_first

    def note_interrupted(self) -> None:
        """Record that the stream was interrupted, and may go on elsewhere."""
        self.paused_since_s = self.last_event_s

    def end_pause_s(self) -> float | None:
        """Return how long the stream was interrupted, at its first event after that."""
        since_s, self.paused_since_s = self.paused_since_s, None
        return time.monotonic() - since_s if since_s is not None else None

    @property
    def silent_s(self) -> float | None:
        """Time since the newest event; ``None`` if there was none."""
        last_s = self.last_event_s
        return time.monotonic() - last_s if last_s is not None else None

    @property
    def streaming_s(self) -> float | None:
        """Time from the first to the last event of this attempt.

        ``None`` if there was no event. The end of the stream is not used, since it
        may be detected much later than the last event.
        """
        first_s = self.attempt_first_event_s
        return self.last_event_s - first_s if first_s is not None else None
