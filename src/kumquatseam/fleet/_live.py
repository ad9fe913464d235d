"""The configuration in force now, shared by every part of a daemon."""

from collections.abc import Callable

from kumquatseam.settings import Configuration

ChangeHandler = Callable[[Configuration], None]


class LiveConfiguration:
    """Holds the newest configuration and never goes back to an older one.

    :param configuration: the first configuration (the INI file's).
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._next_offset = 0
        self._handlers: list[ChangeHandler] = []

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        return self._configuration

    @property
    def next_offset(self) -> int:
        """Every configuration record before this offset is in force."""
        return self._next_offset

    def on_change(self, handler: ChangeHandler) -> None:
        """Call ``handler`` with every configuration that comes into force."""
        self._handlers.append(handler)

    def advance(self, configuration: Configuration, next_offset: int) -> bool:
        """Put ``configuration`` in force unless it is not newer.

        :param next_offset: the offset after the last record it includes.
        :returns: whether it came into force.
        """
        if next_offset <= self._next_offset:
            return False
        self._configuration = configuration
        self._next_offset = next_offset
        for handler in self._handlers:
            handler(configuration)
        return True
