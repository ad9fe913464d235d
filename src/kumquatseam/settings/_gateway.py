"""The settings of the gateway daemon, one class per INI section."""

from pathlib import Path

import attrs

from kumquatseam.errors import SettingsError
from kumquatseam.settings._fields import setting
from kumquatseam.settings._loading import parse_ini, read_section


@attrs.frozen
class GatewaySettings:
    """Where the gateway runs and listens (section ``[gateway]``).

    :param router_name: this instance's name.
    :param zone: the availability zone it runs in.
    :param listen: HOST:PORT for callers.
    :param health_listen: HOST:PORT for readiness questions.
    :param metrics_listen: HOST:PORT for metrics.
    :param ready_path: path of the readiness question.
    :param metrics_path: path of the metrics.
    :param grace_s: time from SIGTERM to SIGKILL.
    :param connect_timeout_s: timeout to open a connection to an upstream.
    :param log_level: lowest level written.
    :param link_mbps: speed of the instance's link; 0 if it is not known.
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
    link_mbps: float = setting(default=0.0)


@attrs.frozen
class PeerSettings:
    """How instances talk to each other (section ``[peers]``).

    :param address: HOST:PORT this instance publishes at.
    :param state_address: HOST:PORT it answers other instances' questions at.
    :param seeds: HOST:PORT at which some instances answer, for a start while
        the log is out of reach; they may be stale.
    :param is_first_start: the whole fleet starts for the first time, so the
        others are not registered yet.
    """

    address: str = setting()
    state_address: str = setting(default="")
    seeds: tuple[str, ...] = setting(default=())
    is_first_start: bool = setting(default=False)


@attrs.frozen
class StoreSettings:
    """The platform's log service (section ``[log]``).

    :param address: HOST:PORT.
    :param timeout_s: timeout of a call.
    """

    address: str = setting()
    timeout_s: float = setting(positive=True, default=1.0)


@attrs.frozen
class FeedSettings:
    """How soon news in the log has to reach every instance (section ``[feeds]``).

    :param configuration_ms: time from the log's acknowledgement of a
        configuration until it is in force.
    :param drain_ms: time from an upstream's leaving until it gets no more work.
    """

    configuration_ms: float = setting(positive=True, default=2000.0)
    drain_ms: float = setting(positive=True, default=2000.0)

    @property
    def configuration_s(self) -> float:
        """The bound of a configuration in seconds."""
        return self.configuration_ms / 1000.0

    @property
    def drain_s(self) -> float:
        """The bound of a drain in seconds."""
        return self.drain_ms / 1000.0


@attrs.frozen
class PromptSettings:
    """What is worth keeping of prompts (section ``[prompts]``).

    :param reuse_window_s: parts asked for again within this time are worth keeping.
    """

    reuse_window_s: float = setting(positive=True, default=10.0)


@attrs.frozen
class RetrySettings:
    """The retry budget all instances share (section ``[retries]``).

    :param ratio: retries allowed per request in a window.
    :param window_s: length of the window.
    :param slack: retries allowed beyond that, over all instances.
    """

    ratio: float = setting(default=0.2)
    window_s: float = setting(positive=True, default=10.0)
    slack: float = setting(default=50.0)


@attrs.frozen
class QuotaSettings:
    """Quotas of teams (section ``[quotas]``).

    :param window_s: the time over which it is looked at whether a quota holds.
    :param over: share by which all instances together may exceed it then.
    :param slack: and by how many requests or tokens more.
    """

    window_s: float = setting(positive=True, default=10.0)
    over: float = setting(default=0.0)
    slack: float = setting(default=0.0)


@attrs.frozen
class RolloutSettings:
    """Rolling new weights out (section ``[rollout]``).

    :param lease_ms: how long a holder of the duty may act after a renewal.
    :param begin_ms: how long after a naming requests may begin on replaced weights.
    :param complete_ms: time from a naming until every engine has to run what was
        named.
    """

    lease_ms: float = setting(positive=True, default=3000.0)
    begin_ms: float = setting(positive=True, default=8000.0)
    complete_ms: float = setting(positive=True, default=11000.0)

    @property
    def lease_s(self) -> float:
        """The lease in seconds."""
        return self.lease_ms / 1000.0

    @property
    def begin_s(self) -> float:
        """The bound of beginning on replaced weights in seconds."""
        return self.begin_ms / 1000.0

    @property
    def complete_s(self) -> float:
        """The bound of a rollout in seconds."""
        return self.complete_ms / 1000.0


@attrs.frozen
class GatewayFile:
    """Everything the gateway daemon reads at start.

    :param source: the file read.
    """

    source: str
    gateway: GatewaySettings
    peers: PeerSettings
    log: StoreSettings
    feeds: FeedSettings
    prompts: PromptSettings
    retries: RetrySettings
    quotas: QuotaSettings
    rollout: RolloutSettings


_SECTIONS = {
    "gateway": GatewaySettings,
    "peers": PeerSettings,
    "log": StoreSettings,
    "feeds": FeedSettings,
    "prompts": PromptSettings,
    "retries": RetrySettings,
    "quotas": QuotaSettings,
    "rollout": RolloutSettings,
}


def load_gateway_settings(path: str) -> GatewayFile:
    """Read the gateway's INI file.

    :raises SettingsError: on the first fault found.
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
