"""An upstream as the platform lists it."""

import attrs


@attrs.frozen
class WeightsVersion:
    """A version of a model's weights.

    :param model: the model.
    :param version: increases with each release of weights.
    """

    model: str
    version: int


@attrs.frozen
class ServiceVersion:
    """A software version of a service; what two of them write does not fit together.

    :param service: the service.
    :param software_version: the version, which has no order.
    """

    service: str
    software_version: str


@attrs.frozen
class Upstream:
    """One incarnation of an upstream.

    An upstream may restart under the same id. It then has lost its cache and its
    state, so state about an upstream is keyed by :attr:`incarnation_id`, never by
    its id alone.

    :param upstream_id: stays the same across restarts.
    :param service: the service it belongs to.
    :param address: ``host:port``.
    :param availability_zone: the zone it runs in.
    :param slots: the number of requests it runs concurrently.
    :param is_leaving: whether it announced its shutdown and accepts no new requests.
    :param weights: the version it runs of each model.
    :param cold_left_s: remaining time of its slow phase after a start.
    :param born_ms: when this incarnation started, in Unix milliseconds by the
        upstream's own clock; increases with each incarnation, 0 if not given.
    :param software_version: the version of its software, which has no order; empty
        if it is not known.
    :param sequence: increases with each entry that this incarnation writes.
    """

    upstream_id: str
    service: str
    address: str
    availability_zone: str = ""
    slots: int = 1
    is_leaving: bool = False
    weights: tuple[WeightsVersion, ...] = ()
    cold_left_s: float = 0.0
    born_ms: int = 0
    software_version: str = ""
    sequence: int = attrs.field(default=0, eq=False)
    #: identifies this incarnation within this process and across instances.
    incarnation_id: str = attrs.field(init=False, eq=False, repr=False)

    @incarnation_id.default
    def _name_incarnation(self) -> str:
        if not self.born_ms:
            return self.upstream_id
        return f"{self.upstream_id}@{self.born_ms}"

    @property
    def service_version(self) -> ServiceVersion:
        """Its service and the version of its software."""
        return ServiceVersion(self.service, self.software_version)

    def version_of(self, model: str) -> int | None:
        """Return the version it runs of ``model``, or ``None``."""
        for listed in self.weights:
            if listed.model == model:
                return listed.version
        return None
