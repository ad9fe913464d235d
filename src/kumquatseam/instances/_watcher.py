"""Reading the instance list at an interval."""

from collections.abc import Callable

import gevent

from kumquatseam.instances._client import InstanceList, InstanceListError
from kumquatseam.instances._instance import Instance
from kumquatseam.logs import part_logger

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
        self._interval_s = interval_s
        self._handler = handler
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin reading."""
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop reading."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self) -> None:
        answered = True
        while True:
            try:
                self._handler(self._instances.read())
                answered = True
            except InstanceListError as error:
                if answered:
                    _log.warning("Keeping the last reading: {}.", error)
                answered = False
            gevent.sleep(self._interval_s)
