"""Entities that operators create and change: teams, priorities, models, upstreams.

Each class is one kind of entity. An entity is a section ``[KIND:NAME]`` of the INI
file and ``KIND NAME`` in the operators' language.
"""

import attrs

from kumquatseam.inifiles import InvalidFieldError, parse_fields, setting

ACTIVE = "active"
DRAINING = "draining"


@attrs.frozen
class PrioritySettings:
    """A priority class; a lower rank is served first.

    :param name: name of the class, sent by callers in ``X-Kumquatseam-Priority``.
    :param rank: ``0`` is the highest priority.
    :param max_queue_ratio: requests of this class are not sent to an engine
        whose load is at least this many times its slots.
    """

    name: str
    rank: int = setting()
    max_queue_ratio: float = setting(positive=True, default=4.0)


@attrs.frozen
class ModelSettings:
    """A served model.

    :param name: the model name in requests of callers.
    :param version: the weights version that engines should run; part of every
        block key.
    :param adapters: names of the adapters available for this model.
    """

    name: str
    version: str = setting()
    adapters: tuple[str, ...] = setting(default=())


@attrs.frozen
class UpstreamSettings:
    """An engine that the router may send requests to.

    :param name: the replica's name, e.g. ``nyelvmodell-flotta-0``.
    :param url: base URL of its OpenAI-compatible HTTP interface.
    :param events_address: nng address of its cache-event and load stream.
    :param zone: its availability zone.
    :param models: names of the models it serves.
    :param slots: requests it runs concurrently (its batch size); more are queued.
    :param state: ``draining`` admits no new requests while running ones finish.
    :param role: its desired role; ``standby`` serves no completions.
    :param loads: pinned weights, ``model@version`` each, which it runs instead of
        the version of the model.
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
        """Return the version of ``model`` it is pinned to, or ``None``."""
        for load in self.loads:
            name, _, version = load.partition("@")
            if name == model:
                return version
        return None


@attrs.frozen
class ServiceSettings:
    """A plain service, whose replicas are not model engines.

    :param name: the service's name, e.g. ``zaras-portal``.
    :param urls: base URLs of its replicas.
    :param zone: its availability zone.
    :param repeatable_methods: HTTP methods whose calls may be retried.
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
    :param priority_classes: priority classes that its callers may request; the
        first is the default.
    :param models: models the team may use.
    :param upstreams: engines that the team may use.
    :param services: plain services that the team may use.
    :param max_running: maximum number of concurrent requests of the team over the
        whole fleet; ``0`` means no limit.
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

#: class by kind of entity; referenced kinds come before those that refer to them.
ENTITY_KINDS: dict[str, type] = {
    "priority": PrioritySettings,
    "model": ModelSettings,
    "upstream": UpstreamSettings,
    "service": ServiceSettings,
    "team": TeamSettings,
}


def build_entity(kind: str, name: str, raw: dict[str, str]) -> Entity:
    """Return the entity built from text values.

    :param kind: one of :data:`ENTITY_KINDS`.
    :param raw: text value by key.
    :raises InvalidFieldError: for the first invalid key.
    """
    cls = ENTITY_KINDS[kind]
    entity = cls(name=name, **parse_fields(cls, raw))
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
