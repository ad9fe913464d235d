"""Poll the instance list."""

from collections.abc import Callable

from kumquatseam.instances._client import InstanceList, InstanceListError
from kumquatseam.instances._instance import Instance
from kumquatseam.logs import part_logger
from kumquatseam.loops import StepLoop

_log = part_logger("instances")


class InstanceWatcher:
    """Polls the instance list and calls a handler with every result.

    While the list does not answer, the handler is not called, so the last
    result stays in use.

    :param instances: the list.
    :param interval_s: seconds between two polls.
    :param handler: called with the listed instances.
    """

    def __init__(
        self,
        instances: InstanceList,
        interval_s: float,
        handler: Callable[[tuple[Instance, ...]], None],
    ) -> None:
        self._instances = instances
        self._handler = handler
        self._is_reachable = True
        self._loop = StepLoop(interval_s, self._poll, starts_immediately=True)

    def start(self) -> None:
        """Start polling."""
        self._loop.start()

    def close(self) -> None:
        """Stop polling."""
        self._loop.close()

    def _poll(self) -> None:
        try:
            self._handler(self._instances.read())
            self._is_reachable = True
        except InstanceListError as error:
            if self._is_reachable:
                _log.warning("Keeping the last list of instances: {}.", error)
            self._is_reachable = False
