"""What is held of a response before it is passed on."""

from kumquatseam.buffers import BufferAccount, BufferLimitError


class ResponseBuffer:
    """Charges the part of a response that is held to its caller.

    :param account: the memory that the caller makes this process hold.
    """

    def __init__(self, account: BufferAccount) -> None:
        self._account = account
        self._held_bytes = 0

    def may_hold(self, size_bytes: int) -> bool:
        """Hold ``size_bytes`` in all, if there is room; return whether there is."""
        try:
            self._account.take(max(0, size_bytes - self._held_bytes))
        except BufferLimitError:
            return False
        self._held_bytes = max(self._held_bytes, size_bytes)
        return True

    def hold(self, size_bytes: int) -> None:
        """Hold ``size_bytes`` in all; callers that receive slowly make room for it."""
        more_bytes = size_bytes - self._held_bytes
        if more_bytes > 0:
            self._account.take_over_limit(more_bytes)
        elif more_bytes < 0:
            self._account.give_back(-more_bytes)
        self._held_bytes = size_bytes
