"""kumquatseam: a prefix-aware router for language-model traffic.

Prompts that share long, nested openings (a common instruction, then a team's
checklist or fault history, then the item) are sent to the engine that most
likely still holds those openings in its KV cache, without ever reusing cached
work across teams, model versions or engine restarts.

The public API is small on purpose: the daemon is built by
:func:`kumquatseam.wiring.build_daemon`, settings are read by
:func:`kumquatseam.settings.load_settings`.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
