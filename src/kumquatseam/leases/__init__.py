"""Leases on duties that one instance at a time performs, stored in the log service."""

from kumquatseam.leases._lease import DutyLease

__all__ = ["DutyLease"]
