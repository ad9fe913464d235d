"""What operators create and change: teams, priorities, models, back ends.

Each class is one kind of entity; the INI file holds it in a section
``[KIND:NAME]`` and the operators' language names it ``KIND NAME``.
"""

import attrs

from kumquatseam.settings._fields import InvalidFieldError, read_fields, setting

ACTIVE = "active"
DRAINING = "draining"


@attrs.frozen
class PrioritySettings:
    """A priority class; lower rank goes first.

    :param name: class name callers put in ``X-Kumquatseam-Priority``.
    :param rank: ``0`` is the most urgent.
    :param max_queue_ratio: requests of this class are shed from an engine
        whose load is at least this many times its slots.
    """

    name: str
    rank: int = setting()
    max_queue_ratio: float = setting(positive=True, default=4.0)


@attrs.frozen
class ModelSettings:
    """A served model.

    :param name: the model name callers ask for.
    :param version: the weights version engines are to run; part of every
        block key.
    :param adapters: adapter names available on this model.
    """

    name: str
    version: str = setting()
    adapters: tuple[str, ...] = setting(default=())


@attrs.frozen
class UpstreamSettings:
    """An engine the router may send work to.

    :param name: the replica's name, e.g. ``nyelvmodell-flotta-0``.
    :param url: base URL of its OpenAI-compatible HTTP interface.
    :param events_address: nng address of its cache-event and load stream.
    :param zone: its availability zone.
    :param models: names of the models it serves.
    :param slots: requests it runs at once (its batch size); more wait.
    :param state: ``draining`` keeps new work away while running work ends.
    :param role: the role it is to have; ``standby`` takes no completions.
    :param loads: weights it is to run instead of a model's own version,
        ``model@version`` each.
    """

    name: str
    url: str = setting()
    events_address: str = setting(key="events")
    zone: str = setting()
    models: tuple[str, ...] = setting()
    slots: int = setting(positive=True)
    state: str = setting(choices=(ACTIVE, DRAINING), default=ACTIVE)
    role: str = setting(choices=("serving", "standby"), default="serving")
    loads: tuple[str, ...] = setting(default=())

    def pinned_version(self, model: str) -> str | None:
        """Return the version of ``model`` it is pinned to, if it is."""
        for load in self.loads:
            name, _, version = load.partition("@")
            if name == model:
                return version
        return None


@attrs.frozen
class ServiceSettings:
    """A plain service: back ends that are not model engines.

    :param name: the service's name, e.g. ``zaras-portal``.
    :param urls: base URLs of its replicas.
    :param zone: its availability zone.
    :param repeatable_methods: HTTP methods whose calls may be sent again.
    """

    name: str
    urls: tuple[str, ...] = setting()
    zone: str = setting()
    repeatable_methods: tuple[str, ...] = setting(default=("GET", "HEAD"))


@attrs.frozen
class TeamSettings:
    """A team of callers.

    :param name: the team's name.
    :param api_keys: bearer keys that identify the team's callers.
    :param priority_classes: classes its callers may ask for; the first is the
        default.
    :param models: models the team may use.
    :param upstreams: engines the team may reach.
    :param services: plain services the team may reach.
    :param max_running: requests the team may have running over the whole
        fleet; ``0`` means no limit.
    """

    name: str
    api_keys: tuple[str, ...] = setting()
    priority_classes: tuple[str, ...] = setting()
    models: tuple[str, ...] = setting()
    upstreams: tuple[str, ...] = setting()
    services: tuple[str, ...] = setting(default=())
    max_running: int = setting(default=0)


Entity = (
    PrioritySettings | ModelSettings | UpstreamSettings | ServiceSettings | TeamSettings
)

#: the word for each kind of entity, in the order references need them.
ENTITY_KINDS: dict[str, type] = {
    "priority": PrioritySettings,
    "model": ModelSettings,
    "upstream": UpstreamSettings,
    "service": ServiceSettings,
    "team": TeamSettings,
}


def build_entity(kind: str, name: str, raw: dict[str, str]) -> Entity:
    """Return the entity described by text values.

    :param kind: one of :data:`ENTITY_KINDS`.
    :param raw: text value by key.
    :raises InvalidFieldError: at the first key at fault.
    """
    cls = ENTITY_KINDS[kind]
    entity = cls(name=name, **read_fields(cls, raw))
    if isinstance(entity, UpstreamSettings):
        _check_url("url", entity.url)
        entity = attrs.evolve(entity, url=entity.url.rstrip("/"))
    if isinstance(entity, ServiceSettings):
        for url in entity.urls:
            _check_url("urls", url)
    return entity


def _check_url(key: str, url: str) -> None:
    if not url.startswith(("http://", "https://")):
        raise InvalidFieldError(key, "must start with http:// or https://")
