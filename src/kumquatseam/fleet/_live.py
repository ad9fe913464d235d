"""The configuration in force, shared by all components of a daemon."""

from collections.abc import Callable

from kumquatseam.settings import Configuration

ChangeHandler = Callable[[Configuration], None]


class LiveConfiguration:
    """Holds the newest configuration and never reverts to an older one.

    :param configuration: the initial configuration, from the INI file.
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
        """Offset before which every configuration record is in force."""
        return self._next_offset

    def on_change(self, handler: ChangeHandler) -> None:
        """Call ``handler`` with every new configuration."""
        self._handlers.append(handler)

    def advance(self, configuration: Configuration, next_offset: int) -> bool:
        """Put ``configuration`` in force if it is newer than the current one.

        :param next_offset: offset after the last record it includes.
        :returns: whether it was newer.
        """
        if next_offset <= self._next_offset:
            return False
        self._configuration = configuration
        self._next_offset = next_offset
        for handler in self._handlers:
            handler(configuration)
        return True
