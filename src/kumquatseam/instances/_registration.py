"""Keep this process registered in the instance list while it runs."""

import contextlib

import attrs

from kumquatseam.instances._client import InstanceList, InstanceListError
from kumquatseam.instances._instance import LEAVING, Instance
from kumquatseam.loops import StepLoop

#: interval at which the entry is renewed.
HEARTBEAT_INTERVAL_S = 1.0


class InstanceRegistration:
    """Keeps an instance registered and marks it as leaving on close.

    :param instances: the list.
    :param instance: the entry to register.
    """

    def __init__(self, instances: InstanceList, instance: Instance) -> None:
        self._instances = instances
        self._instance = instance
        self._loop = StepLoop(
            HEARTBEAT_INTERVAL_S, self._register, starts_immediately=True
        )

    def start(self) -> None:
        """Start registering the instance."""
        self._loop.start()

    def leave(self) -> None:
        """Mark the instance as leaving from now on."""
        self._instance = attrs.evolve(self._instance, state=LEAVING)
        self._register()

    def close(self) -> None:
        """Mark the instance as leaving and stop renewing its entry."""
        if self._loop.is_running:
            self._loop.close()
            self.leave()

    def _register(self) -> None:
        # The list may be down for a long time; the next heartbeat retries.
        with contextlib.suppress(InstanceListError):
            self._instances.register(self._instance)
