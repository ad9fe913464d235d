"""The size of a budget, for the process that limits one."""

from kumquatseam.buffers._process_memory import ProcessMemory

__all__ = ["ProcessMemory"]
