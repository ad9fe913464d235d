"""The size of a budget; import it after the start, which it would prolong."""

from kumquatseam.buffers._process_memory import ProcessMemory

__all__ = ["ProcessMemory"]
