"""Work in the background, on a greenlet of its own."""

import abc
from collections.abc import Callable

import gevent
import gevent.event

from kumquatseam.logs import part_logger

_log = part_logger("loop")


class BackgroundTask(abc.ABC):
    """Something that runs from ``start`` to ``close``."""

    def __init__(self) -> None:
        self._greenlet: gevent.Greenlet | None = None

    @property
    def is_running(self) -> bool:
        """Whether it was started and not closed."""
        return self._greenlet is not None

    def start(self) -> None:
        """Begin."""
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop; what is under way is cut off."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None

    @abc.abstractmethod
    def _run(self) -> None:
        """Do the work; called on the greenlet."""


class StepLoop(BackgroundTask):
    """Runs steps in order, again and again.

    :param interval_s: seconds between two rounds, or what returns them.
    :param steps: called in order each round; a failure is logged and the loop
        goes on, since nobody would notice that it had ended.
    :param starts_immediately: begin with a round instead of a pause.
    """

    def __init__(
        self,
        interval_s: float | Callable[[], float],
        *steps: Callable[[], None],
        starts_immediately: bool = False,
    ) -> None:
        super().__init__()
        self._interval_s = interval_s if callable(interval_s) else lambda: interval_s
        self._steps = steps
        self._runs_at_once = starts_immediately

    def _run(self) -> None:
        if not self._runs_at_once:
            gevent.sleep(self._interval_s())
        while True:
            for step in self._steps:
                self._run_step(step)
            gevent.sleep(self._interval_s())

    @staticmethod
    def _run_step(step: Callable[[], None]) -> None:
        try:
            step()
        except Exception:  # noqa: BLE001 - logged; the loop supervises its steps
            _log.exception("A step failed; going on.")


class WakeableLoop(BackgroundTask):
    """Runs a step when it is told that there is something to do.

    :param step: does what is to do; returns whether to try again after a pause. A
        failure is logged and tried again.
    :param retry_pause_s: seconds before the next try.
    """

    def __init__(self, step: Callable[[], bool], retry_pause_s: float) -> None:
        super().__init__()
        self._step = step
        self._retry_pause_s = retry_pause_s
        self._is_due = gevent.event.Event()

    def wake(self) -> None:
        """Note that there is something to do."""
        self._is_due.set()

    def _run(self) -> None:
        while True:
            self._is_due.wait()
            self._is_due.clear()
            while self._run_step():
                gevent.sleep(self._retry_pause_s)

    def _run_step(self) -> bool:
        try:
            return self._step()
        except Exception:  # noqa: BLE001 - logged; the loop supervises its step
            _log.exception("A step failed; trying again.")
            return True
