"""Leases on duties that one instance at a time may hold, kept in the log service."""

from kumquatseam.leases._lease import DutyLease

__all__ = ["DutyLease"]
