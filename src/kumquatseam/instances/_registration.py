"""Showing one of our processes in the instance list while it runs."""

import attrs
import gevent

from kumquatseam.instances._client import InstanceList, InstanceListError
from kumquatseam.instances._instance import LEAVING, Instance

#: seconds between two heartbeats to the list.
HEARTBEAT_INTERVAL_S = 1.0


class InstanceRegistration:
    """Keeps an instance listed; leaving is shown when it closes.

    :param instances: the list.
    :param instance: what to show.
    """

    def __init__(self, instances: InstanceList, instance: Instance) -> None:
        self._instances = instances
        self._instance = instance
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin showing the instance."""
        self._greenlet = gevent.spawn(self._run)

    def leave(self) -> None:
        """Show the instance as leaving from now on."""
        self._instance = attrs.evolve(self._instance, state=LEAVING)
        self._show()

    def close(self) -> None:
        """Show the instance as leaving a last time and stop."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
            self.leave()

    def _run(self) -> None:
        while True:
            self._show()
            gevent.sleep(HEARTBEAT_INTERVAL_S)

    def _show(self) -> None:
        try:
            self._instances.show(self._instance)
        except InstanceListError:
            # The list may be down for long; the next heartbeat tries again.
            return
