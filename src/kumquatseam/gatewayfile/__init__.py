"""Settings file of the gateway daemon.

:func:`load_gateway_settings` reads one, as :class:`GatewayFile`. It is a package of its
own so that a gateway does not load the settings of the routers' own interface.
"""

from kumquatseam.gatewayfile._settings import (
    FeedSettings,
    GatewayFile,
    GatewaySettings,
    RetrySettings,
    RolloutSettings,
    load_gateway_settings,
)

__all__ = [
    "FeedSettings",
    "GatewayFile",
    "GatewaySettings",
    "RetrySettings",
    "RolloutSettings",
    "load_gateway_settings",
]
