"""Memory that this process holds on behalf of its clients, within one limit.

- :class:`BufferBudget` is the limit; all connections share it.
- :class:`BufferAccount` is what one connection holds of it: requests that are read or
  kept for a retry, and responses that the client has yet to receive.
- :class:`BufferLimitError` is raised where there is no room for more.
- ``sizing.ProcessMemory`` sizes a budget to the machine.
"""

from kumquatseam.buffers._account import BufferAccount, BufferLimitError
from kumquatseam.buffers._budget import SMALL_BYTES, BufferBudget

__all__ = ["BufferAccount", "BufferBudget", "BufferLimitError", "SMALL_BYTES"]
