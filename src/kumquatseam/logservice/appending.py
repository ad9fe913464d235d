"""Appending under a condition; import it only where that is done.

Instances that hold no lease never do, and start faster without it.
"""

from kumquatseam.logservice._append_once import append_once

__all__ = ["append_once"]
