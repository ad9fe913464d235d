"""Load data of trackers for placement; import it only where the fleet is large.

Small fleets never need it, and start faster without.
"""

from kumquatseam.trackers._work import TrackedWork

__all__ = ["TrackedWork"]
