"""The frozen records that settings are read into."""

import attrs

POLICY_NAMES = ("prefix_aware", "round_robin", "least_loaded", "affinity")


@attrs.frozen
class DaemonSettings:
    """Settings of the router daemon itself (section ``[daemon]``).

    :param listen_host: address the caller interface binds, e.g. ``127.0.0.1``.
    :param listen_port: TCP port of the caller interface.
    :param zone: the availability zone this daemon runs in, e.g. ``kobanya``.
    :param policy: routing policy name, one of :data:`POLICY_NAMES`.
    :param block_size_tokens: tokens per KV-cache block; engines must agree.
    :param engine_dead_after_s: an engine silent for this long is dead and its
        cache entries are dropped.
    :param index_entry_ttl_s: a cached-block entry not confirmed for this long
        is forgotten (engines evict within seconds).
    :param prefill_ms_per_token: modelled prefill cost used to score engines.
    :param queue_ms_per_request: modelled wait per request queued on an engine.
    :param connect_timeout_s: timeout to open a connection to an engine.
    :param read_timeout_s: timeout between two chunks of an engine's answer.
    :param drain_timeout_s: how long a graceful shutdown waits for requests.
    """

    listen_host: str
    listen_port: int
    zone: str
    policy: str
    block_size_tokens: int
    engine_dead_after_s: float
    index_entry_ttl_s: float
    prefill_ms_per_token: float
    queue_ms_per_request: float
    connect_timeout_s: float
    read_timeout_s: float
    drain_timeout_s: float


@attrs.frozen
class PrioritySettings:
    """A priority class (section ``[priority:NAME]``); lower rank goes first.

    :param name: class name callers put in ``X-Kumquatseam-Priority``.
    :param rank: ``0`` is the most urgent.
    """

    name: str
    rank: int


@attrs.frozen
class ModelSettings:
    """A served model (section ``[model:NAME]``).

    :param name: the model name callers ask for.
    :param version: the weights version; part of every block key.
    :param adapters: adapter names available on this model.
    """

    name: str
    version: str
    adapters: tuple[str, ...]


@attrs.frozen
class UpstreamSettings:
    """An engine the router may send work to (section ``[upstream:NAME]``).

    :param name: the replica's name, e.g. ``nyelvmodell-flotta-0``.
    :param url: base URL of its OpenAI-compatible HTTP interface.
    :param events_address: nng address of its cache-event and load stream.
    :param zone: its availability zone.
    :param models: names of the models it serves.
    :param slots: requests it runs at once (its batch size); more wait.
    """

    name: str
    url: str
    events_address: str
    zone: str
    models: tuple[str, ...]
    slots: int


@attrs.frozen
class TeamSettings:
    """A team of callers (section ``[team:NAME]``).

    :param name: the team's name.
    :param api_keys: bearer keys that identify the team's callers.
    :param priority_classes: classes its callers may ask for; the first is the
        default.
    :param models: models the team may use.
    :param upstreams: engines the team may reach.
    """

    name: str
    api_keys: tuple[str, ...]
    priority_classes: tuple[str, ...]
    models: tuple[str, ...]
    upstreams: tuple[str, ...]


@attrs.frozen
class Settings:
    """Everything a daemon reads at start.

    :param source: the file read, or the embedded default's name.
    """

    source: str
    daemon: DaemonSettings
    priorities: tuple[PrioritySettings, ...]
    models: tuple[ModelSettings, ...]
    upstreams: tuple[UpstreamSettings, ...]
    teams: tuple[TeamSettings, ...]

    def team_for_key(self, api_key: str) -> TeamSettings | None:
        """Return the team an API key belongs to, or ``None``."""
        for team in self.teams:
            if api_key in team.api_keys:
                return team
        return None

    def model(self, name: str) -> ModelSettings | None:
        """Return the model called ``name``, or ``None``."""
        return next((m for m in self.models if m.name == name), None)

    def upstream(self, name: str) -> UpstreamSettings | None:
        """Return the upstream called ``name``, or ``None``."""
        return next((u for u in self.upstreams if u.name == name), None)
