"""The platform's list of live and leaving instances.

- :class:`InstanceList` is the interface, :class:`HttpInstanceList` its HTTP client.
- :class:`InstanceRegistration` keeps this process registered in the list.
- :class:`InstanceWatcher` polls the list and calls a handler with the result.
"""

from kumquatseam.instances._client import (
    HttpInstanceList,
    InstanceList,
    InstanceListError,
)
from kumquatseam.instances._instance import LEAVING, LIVE, Instance
from kumquatseam.instances._registration import InstanceRegistration
from kumquatseam.instances._watcher import InstanceWatcher

__all__ = [
    "LEAVING",
    "LIVE",
    "HttpInstanceList",
    "Instance",
    "InstanceList",
    "InstanceListError",
    "InstanceRegistration",
    "InstanceWatcher",
]
