"""Opening tunnels; import it only where the own path to the upstreams is lost.

Most instances never need it, and start faster without.
"""

from kumquatseam.relays._client import RelayClient

__all__ = ["RelayClient"]
