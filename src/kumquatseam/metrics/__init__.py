"""Request metrics, recorded with hdrhistogram.

- :class:`GatewayMetrics` counts the gateway's requests and exports the metrics.
- :mod:`kumquatseam.metrics.figures` has the statistics of routers and the bench. It
  is not imported here, since the gateway does not use it.
"""

from kumquatseam.metrics._gateway import GatewayMetrics

__all__ = ["GatewayMetrics"]
