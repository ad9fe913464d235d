"""A place at a brittle upstream."""

import attrs


@attrs.frozen
class PlaceGrant:
    """A place for one request at a brittle upstream.

    :param incarnation_id: the upstream.
    """

    incarnation_id: str
