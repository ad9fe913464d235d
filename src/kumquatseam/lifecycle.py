"""Starting several parts in order, and closing them in reverse."""

from collections.abc import Sequence


class PartGroup:
    """Parts that start and close together.

    :param name: named in the failure to close.
    :param parts: objects with ``start()`` and ``close()``, in start order.
    """

    def __init__(self, name: str, parts: Sequence) -> None:
        self._name = name
        self._parts = parts

    def start(self) -> None:
        """Start every part in order."""
        for part in self._parts:
            part.start()

    def close(self) -> None:
        """Close every part in reverse order.

        :raises ExceptionGroup: of every part's failure to close, if any.
        """
        failures = []
        for part in reversed(self._parts):
            try:
                part.close()
            except Exception as error:  # noqa: BLE001 - gathered and raised below
                failures.append(error)
        if failures:
            raise ExceptionGroup(f"{self._name}: parts failed to close", failures)
