"""The users' platform: translates its wire names and nothing else.

``python3 -m kumquatseam.platform`` runs the gateway with its
:class:`~kumquatseam.platform.adapter.PlatformAdapter`; decisions, state and
recovery lie outside this folder. Nothing is imported here, since the program
has to make the standard library cooperative before anything else loads.
"""
