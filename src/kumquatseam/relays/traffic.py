"""Deciding on carried requests; import it only where tunnels are open.

Most instances never carry any, and start faster without.
"""

from kumquatseam.relays._traffic import TunnelTraffic

__all__ = ["TunnelTraffic"]
