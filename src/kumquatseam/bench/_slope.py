"""One measured slope."""

import attrs


@attrs.frozen
class Slope:
    """One measured slope.

    :param name: what is measured, e.g. ``"index_apply_us_per_key"``.
    :param value: the figure.
    :param unit: its unit.
    :param how: how it was measured, in a few words.
    """

    name: str
    value: float
    unit: str
    how: str
