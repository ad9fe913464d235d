"""Background tasks, each on its own greenlet."""

import abc
from collections.abc import Callable

import gevent
import gevent.event

from kumquatseam.logs import part_logger

_log = part_logger("loop")


class BackgroundTask(abc.ABC):
    """A task that runs on a greenlet from ``start`` to ``close``."""

    def __init__(self) -> None:
        self._greenlet: gevent.Greenlet | None = None

    @property
    def is_running(self) -> bool:
        """Whether the task was started and not closed."""
        return self._greenlet is not None

    def start(self) -> None:
        """Start the task."""
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop the task by killing its greenlet, without waiting for its work."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None

    @abc.abstractmethod
    def _run(self) -> None:
        """Do the work of the task; called on the greenlet."""


class StepLoop(BackgroundTask):
    """Runs steps periodically.

    :param interval_s: pause between two rounds in seconds, or a function that
        returns it.
    :param steps: called in order in each round. An exception is logged and the loop
        continues, because nothing else would detect that it had ended.
    :param starts_immediately: run the first round without a pause before it.
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
        self._starts_immediately = starts_immediately

    def _run(self) -> None:
        if not self._starts_immediately:
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
            _log.exception("A periodic step failed; the loop continues.")


class WakeableLoop(BackgroundTask):
    """Runs a step after each call of :meth:`wake`.

    :param step: does the pending work and returns whether to retry after a delay.
        An exception is logged and the step is retried.
    :param retry_delay_s: delay before a retry, in seconds.
    """

    def __init__(self, step: Callable[[], bool], retry_delay_s: float) -> None:
        super().__init__()
        self._step = step
        self._retry_delay_s = retry_delay_s
        self._is_due = gevent.event.Event()

    def wake(self) -> None:
        """Signal that work is pending."""
        self._is_due.set()

    def _run(self) -> None:
        while True:
            self._is_due.wait()
            self._is_due.clear()
            while self._run_step():
                gevent.sleep(self._retry_delay_s)

    def _run_step(self) -> bool:
        try:
            return self._step()
        except Exception:  # noqa: BLE001 - logged; the loop supervises its step
            _log.exception("A step failed; retrying after a delay.")
            return True
