"""The fleet's configuration: every entity that operators may change.

A :class:`Configuration` is immutable; a change returns a new one. The INI file has
the initial configuration, the configuration records in the log service later ones.
"""

from collections.abc import Iterable
from functools import cached_property

import attrs

from kumquatseam.errors import KumquatseamError
from kumquatseam.settings._entities import (
    ENTITY_KINDS,
    Entity,
    ModelSettings,
    PrioritySettings,
    ServiceSettings,
    TeamSettings,
    UpstreamSettings,
)

#: fields by kind of entity that refer to other entities, with the kind referred to.
_REFERENCES = {
    "upstream": (("models", "model"),),
    "team": (
        ("priority_classes", "priority"),
        ("models", "model"),
        ("upstreams", "upstream"),
        ("services", "service"),
    ),
}


@attrs.define(frozen=True, eq=False)
class InvalidReferenceError(KumquatseamError):
    """An entity refers to one that does not exist, or has an API key of another.

    :param section: ``KIND:NAME`` of the invalid entity.
    :param key: the invalid key.
    :param reason: what is wrong, in one short sentence.
    """

    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        return f"{self.section} {self.key}: {self.reason}"


@attrs.frozen(slots=False)
class Configuration:
    """All entities of one version of the fleet's configuration."""

    priorities: tuple[PrioritySettings, ...] = ()
    models: tuple[ModelSettings, ...] = ()
    upstreams: tuple[UpstreamSettings, ...] = ()
    teams: tuple[TeamSettings, ...] = ()
    services: tuple[ServiceSettings, ...] = ()

    @classmethod
    def from_entities(cls, entities: Iterable[tuple[str, Entity]]) -> "Configuration":
        """Return the configuration of ``(kind, entity)`` pairs."""
        found: dict[str, dict[str, Entity]] = {kind: {} for kind in _FIELD_BY_KIND}
        for kind, entity in entities:
            found[kind][entity.name] = entity
        return cls(**{_FIELD_BY_KIND[k]: tuple(e.values()) for k, e in found.items()})

    @cached_property
    def _by_kind(self) -> dict[str, dict[str, Entity]]:
        kinds = {
            "priority": self.priorities,
            "model": self.models,
            "upstream": self.upstreams,
            "service": self.services,
            "team": self.teams,
        }
        return {k: {e.name: e for e in found} for k, found in kinds.items()}

    @cached_property
    def _team_by_key(self) -> dict[str, TeamSettings]:
        return {key: team for team in self.teams for key in team.api_keys}

    def team_for_key(self, api_key: str) -> TeamSettings | None:
        """Return the team that an API key belongs to, or ``None``."""
        return self._team_by_key.get(api_key)

    def find(self, kind: str, name: str) -> Entity | None:
        """Return the entity of ``kind`` called ``name``, or ``None``."""
        return self._by_kind[kind].get(name)

    def model(self, name: str) -> ModelSettings | None:
        """Return the model called ``name``, or ``None``."""
        return self.find("model", name)

    def upstream(self, name: str) -> UpstreamSettings | None:
        """Return the upstream called ``name``, or ``None``."""
        return self.find("upstream", name)

    def desired_version(self, upstream: UpstreamSettings, model: str) -> str:
        """Return the version of ``model`` that ``upstream`` should run."""
        return upstream.pinned_version(model) or self.model(model).version

    def priority(self, name: str) -> PrioritySettings | None:
        """Return the priority class called ``name``, or ``None``."""
        return self.find("priority", name)

    def service(self, name: str) -> ServiceSettings | None:
        """Return the plain service called ``name``, or ``None``."""
        return self.find("service", name)

    def entities(self) -> list[tuple[str, Entity]]:
        """Return all entities with their kinds, referenced kinds first."""
        return [
            (kind, entity)
            for kind, found in self._by_kind.items()
            for entity in found.values()
        ]

    def with_entity(self, kind: str, entity: Entity) -> "Configuration":
        """Return a configuration with ``entity`` added or replaced."""
        found = dict(self._by_kind[kind])
        found[entity.name] = entity
        return self._with_entities(kind, found)

    def without_entity(self, kind: str, name: str) -> "Configuration":
        """Return a configuration without the entity called ``name``."""
        found = dict(self._by_kind[kind])
        found.pop(name, None)
        return self._with_entities(kind, found)

    def _with_entities(self, kind: str, found: dict[str, Entity]) -> "Configuration":
        return attrs.evolve(self, **{_FIELD_BY_KIND[kind]: tuple(found.values())})

    def check(self) -> None:
        """Check that every entity referred to exists and API keys are unique.

        :raises InvalidReferenceError: for the first violation.
        """
        for kind, references in _REFERENCES.items():
            for entity in self._by_kind[kind].values():
                for key, target in references:
                    self._check_names(kind, entity, key, target)
        owners: dict[str, str] = {}
        for team in self.teams:
            for api_key in team.api_keys:
                owner = owners.setdefault(api_key, team.name)
                if owner != team.name:
                    reason = f"key also belongs to team {owner}"
                    raise InvalidReferenceError(f"team:{team.name}", "api_keys", reason)

    def _check_names(self, kind: str, entity: Entity, key: str, target: str) -> None:
        for name in getattr(entity, key):
            if name not in self._by_kind[target]:
                section = f"{kind}:{entity.name}"
                raise InvalidReferenceError(section, key, f"unknown name {name!r}")


_FIELD_BY_KIND = {
    "priority": "priorities",
    "model": "models",
    "upstream": "upstreams",
    "service": "services",
    "team": "teams",
}
assert set(_FIELD_BY_KIND) == set(ENTITY_KINDS)
