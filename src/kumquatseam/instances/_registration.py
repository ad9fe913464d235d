"""Showing one of our processes in the instance list while it runs."""

import contextlib

import attrs

from kumquatseam.instances._client import InstanceList, InstanceListError
from kumquatseam.instances._instance import LEAVING, Instance
from kumquatseam.loops import StepLoop

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
        self._loop = StepLoop(HEARTBEAT_INTERVAL_S, self._show, runs_at_once=True)

    def start(self) -> None:
        """Begin showing the instance."""
        self._loop.start()

    def leave(self) -> None:
        """Show the instance as leaving from now on."""
        self._instance = attrs.evolve(self._instance, state=LEAVING)
        self._show()

    def close(self) -> None:
        """Show the instance as leaving a last time and stop."""
        if self._loop.is_running:
            self._loop.close()
            self.leave()

    def _show(self) -> None:
        # The list may be down for long; the next heartbeat tries again.
        with contextlib.suppress(InstanceListError):
            self._instances.show(self._instance)
