"""Reading the instance list at an interval."""

from collections.abc import Callable

from kumquatseam.instances._client import InstanceList, InstanceListError
from kumquatseam.instances._instance import Instance
from kumquatseam.logs import part_logger
from kumquatseam.loops import StepLoop

_log = part_logger("instances")


class InstanceWatcher:
    """Hands every reading of the list to a handler.

    While the list does not answer, the last reading stays in use.

    :param instances: the list.
    :param interval_s: seconds between two readings.
    :param handler: called with every reading.
    """

    def __init__(
        self,
        instances: InstanceList,
        interval_s: float,
        handler: Callable[[tuple[Instance, ...]], None],
    ) -> None:
        self._instances = instances
        self._handler = handler
        self._answers = True
        self._loop = StepLoop(interval_s, self._read, runs_at_once=True)

    def start(self) -> None:
        """Begin reading."""
        self._loop.start()

    def close(self) -> None:
        """Stop reading."""
        self._loop.close()

    def _read(self) -> None:
        try:
            self._handler(self._instances.read())
            self._answers = True
        except InstanceListError as error:
            if self._answers:
                _log.warning("Keeping the last reading: {}.", error)
            self._answers = False
