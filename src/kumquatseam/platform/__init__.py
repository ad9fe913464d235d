"""Adapter for the users' platform: converts its wire formats.

``python3 -m kumquatseam.platform`` runs the gateway with
:class:`~kumquatseam.platform.adapter.PlatformAdapter`. Decisions, state and
recovery are implemented in other packages. Nothing is imported here, since gevent
has to patch the standard library before any other import.
"""
