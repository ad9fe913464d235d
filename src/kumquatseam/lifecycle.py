"""Starting components in order and closing them in reverse order."""

from collections.abc import Sequence


class PartGroup:
    """Components that are started and closed together.

    :param name: the group's name, used in errors.
    :param parts: objects with ``start()`` and ``close()``, in start order.
    """

    def __init__(self, name: str, parts: Sequence) -> None:
        self._name = name
        self._parts = parts

    def start(self) -> None:
        """Start all components in order."""
        for part in self._parts:
            part.start()

    def close(self) -> None:
        """Close all components in reverse order, even if some fail to close.

        :raises ExceptionGroup: with the errors of the components that failed.
        """
        failures = []
        for part in reversed(self._parts):
            try:
                part.close()
            except Exception as error:  # noqa: BLE001 - collected and raised below
                failures.append(error)
        if failures:
            raise ExceptionGroup(f"{self._name}: components failed to close", failures)
