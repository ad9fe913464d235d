"""The settings of the gateway daemon, one class per INI section."""

from pathlib import Path

import attrs

from kumquatseam.errors import SettingsError
from kumquatseam.inifiles import parse_ini, read_section, setting


@attrs.frozen
class GatewaySettings:
    """Settings of the gateway process (section ``[gateway]``).

    :param router_name: this instance's name.
    :param zone: availability zone of this instance.
    :param listen: HOST:PORT for callers.
    :param health_listen: HOST:PORT for readiness probes.
    :param metrics_listen: HOST:PORT for metrics.
    :param ready_path: path of the readiness probe.
    :param metrics_path: path of the metrics.
    :param grace_s: time from SIGTERM to SIGKILL, in seconds.
    :param connect_timeout_s: timeout of connecting to an upstream.
    :param log_level: minimum level of written log lines.
    :param max_descriptors: file descriptors that this process may use; 0 for as many
        as the system allows.
    :param memory_mb: memory that this process may take, in millions of bytes; 0 for as
        much as the system has.
    :param link_mbps: bandwidth of the instance's network link; 0 if unknown.
    """

    router_name: str = setting(key="name")
    zone: str = setting()
    listen: str = setting()
    health_listen: str = setting()
    metrics_listen: str = setting(default="")
    ready_path: str = setting(default="/ready")
    metrics_path: str = setting(default="/metrics")
    grace_s: float = setting(positive=True, default=8.0)
    connect_timeout_s: float = setting(positive=True, default=0.3)
    log_level: str = setting(default="DEBUG")
    max_descriptors: int = setting(default=0)
    memory_mb: float = setting(default=0.0)
    link_mbps: float = setting(default=0.0)


@attrs.frozen
class PeerSettings:
    """Communication between instances (section ``[peers]``).

    :param address: HOST:PORT at which this instance publishes messages.
    :param state_address: HOST:PORT at which it answers queries of other instances.
    :param seeds: HOST:PORT of some instances that answer queries, used at start-up
        while the log is unreachable; they may be stale.
    :param relay_address: HOST:PORT at which it opens tunnels to upstreams for other
        instances; none if empty.
    :param is_first_start: whether the whole fleet starts for the first time, so that
        the other instances are not registered yet.
    """

    address: str = setting()
    state_address: str = setting(default="")
    seeds: tuple[str, ...] = setting(default=())
    relay_address: str = setting(default="")
    is_first_start: bool = setting(default=False)


@attrs.frozen
class GatewayLogSettings:
    """The platform's log service (section ``[log]``).

    :param address: HOST:PORT.
    :param timeout_s: timeout of a call.
    """

    address: str = setting()
    timeout_s: float = setting(positive=True, default=1.0)


@attrs.frozen
class FeedSettings:
    """Limits on the propagation of log records to instances (section ``[feeds]``).

    :param configuration_ms: maximum time from the log's acknowledgement of a
        configuration until every instance applies it.
    :param drain_ms: maximum time from the start of an upstream's drain until no
        instance sends it new requests.
    """

    configuration_ms: float = setting(positive=True, default=2000.0)
    drain_ms: float = setting(positive=True, default=2000.0)

    @property
    def configuration_s(self) -> float:
        """:attr:`configuration_ms` in seconds."""
        return self.configuration_ms / 1000.0

    @property
    def drain_s(self) -> float:
        """:attr:`drain_ms` in seconds."""
        return self.drain_ms / 1000.0


@attrs.frozen
class PromptSettings:
    """Caching of prompts (section ``[prompts]``).

    :param reuse_window_s: prompt parts requested again within this time are worth
        caching.
    """

    reuse_window_s: float = setting(positive=True, default=10.0)


@attrs.frozen
class RetrySettings:
    """The retry budget shared by all instances (section ``[retries]``).

    :param ratio: retries allowed per request in a window.
    :param window_s: length of the window.
    :param slack: retries allowed beyond the ratio, over all instances.
    """

    ratio: float = setting(default=0.2)
    window_s: float = setting(positive=True, default=10.0)
    slack: float = setting(default=50.0)


@attrs.frozen
class QuotaSettings:
    """Quotas of teams (section ``[quotas]``).

    :param window_s: length of the window in which usage is compared with a quota.
    :param over: share of a quota by which all instances together may exceed it in a
        window.
    :param slack: requests or tokens by which they may exceed it beyond that.
    """

    window_s: float = setting(positive=True, default=10.0)
    over: float = setting(default=0.0)
    slack: float = setting(default=0.0)


@attrs.frozen
class RolloutSettings:
    """Rollout of new weights (section ``[rollout]``).

    :param lease_ms: duration of the rollout lease after a renewal.
    :param begin_ms: how long after new target weights are set requests may still
        start on the replaced weights.
    :param complete_ms: maximum time from setting new target weights until every
        engine runs them.
    """

    lease_ms: float = setting(positive=True, default=3000.0)
    begin_ms: float = setting(positive=True, default=8000.0)
    complete_ms: float = setting(positive=True, default=11000.0)

    @property
    def lease_s(self) -> float:
        """:attr:`lease_ms` in seconds."""
        return self.lease_ms / 1000.0

    @property
    def replaced_weights_grace_s(self) -> float:
        """:attr:`begin_ms` in seconds."""
        return self.begin_ms / 1000.0

    @property
    def complete_s(self) -> float:
        """:attr:`complete_ms` in seconds."""
        return self.complete_ms / 1000.0


@attrs.frozen
class GatewayFile:
    """All settings of the gateway daemon.

    :param source: path of the file.
    """

    source: str
    gateway: GatewaySettings
    peers: PeerSettings
    log: GatewayLogSettings
    feeds: FeedSettings
    prompts: PromptSettings
    retries: RetrySettings
    quotas: QuotaSettings
    rollout: RolloutSettings


_SECTIONS = {
    "gateway": GatewaySettings,
    "peers": PeerSettings,
    "log": GatewayLogSettings,
    "feeds": FeedSettings,
    "prompts": PromptSettings,
    "retries": RetrySettings,
    "quotas": QuotaSettings,
    "rollout": RolloutSettings,
}


def load_gateway_settings(path: str) -> GatewayFile:
    """Read and validate the gateway's INI file.

    :raises SettingsError: for the first error found.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(path, "", "", f"cannot be read: {error}") from error
    parser = parse_ini(text, path)
    for section in parser.sections():
        if section not in _SECTIONS:
            raise SettingsError(path, section, "", "unknown section")
    sections = {
        name: read_section(parser, path, name, cls) for name, cls in _SECTIONS.items()
    }
    return GatewayFile(path, **sections)
