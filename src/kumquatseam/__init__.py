"""kumquatseam: a prefix-aware router for language-model traffic.

Prompts often share long, nested prefixes (a common instruction, then a team's
checklist or fault history, then the item). Each prompt is sent to the engine that
most likely still holds its prefix in the KV cache. Cached blocks are never reused
across teams, model versions or engine restarts.

The public API is small: the daemon is built by
:func:`kumquatseam.wiring.build_daemon`, settings are read by
:func:`kumquatseam.settings.load_settings`.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
