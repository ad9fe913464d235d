"""One upstream as the platform lists it."""

import attrs


@attrs.frozen
class WeightsNamed:
    """The weights of a model that are to be in force.

    :param model: the model.
    :param version: increases with each release of weights.
    """

    model: str
    version: int


@attrs.frozen
class Upstream:
    """One life of an upstream: a restart gets a new id.

    :param upstream_id: names this life, and no other.
    :param service: the service it belongs to.
    :param address: ``host:port``.
    :param availability_zone: where it runs.
    :param slots: requests it runs at once.
    :param is_leaving: it announced that it leaves and takes no new work.
    :param weights: model name to the version it runs.
    :param cold_left_s: how much longer it is slow after its start.
    """

    upstream_id: str
    service: str
    address: str
    availability_zone: str = ""
    slots: int = 1
    is_leaving: bool = False
    weights: tuple[WeightsNamed, ...] = ()
    cold_left_s: float = 0.0

    def version_of(self, model: str) -> int | None:
        """Return the weights it runs of ``model``."""
        for named in self.weights:
            if named.model == model:
                return named.version
        return None
