"""Settings of the router daemon, one class per INI section."""

import attrs

from kumquatseam.inifiles import setting
from kumquatseam.settings._configuration import Configuration

POLICY_NAMES = ("prefix_aware", "round_robin", "least_loaded", "affinity")


@attrs.frozen
class DaemonSettings:
    """Settings of the router daemon itself (section ``[daemon]``).

    :param listen: HOST:PORT that the caller interface binds to.
    :param zone: availability zone of this daemon, e.g. ``kobanya``.
    :param policy: name of the routing policy, one of :data:`POLICY_NAMES`.
    :param block_size_tokens: tokens per KV-cache block; must match the engines.
    :param engine_dead_after_s: an engine that sends no events for this long is
        considered dead and its cache entries are dropped.
    :param index_entry_ttl_s: a cached-block entry that is not confirmed for this
        long is removed (engines evict within seconds).
    :param prefill_ms_per_token: modelled prefill cost, used to score engines.
    :param queue_ms_per_request: modelled wait per request queued on an engine.
    :param connect_timeout_s: timeout of connecting to an engine.
    :param read_timeout_s: timeout between two chunks of an engine's response.
    :param drain_timeout_s: how long a graceful shutdown waits for running requests.
    :param router_name: name of this daemon in the fleet (key ``name``); empty derives
        it from ``listen``.
    """

    listen: str = setting()
    zone: str = setting()
    policy: str = setting(choices=POLICY_NAMES)
    block_size_tokens: int = setting(positive=True)
    engine_dead_after_s: float = setting()
    index_entry_ttl_s: float = setting()
    prefill_ms_per_token: float = setting()
    queue_ms_per_request: float = setting()
    connect_timeout_s: float = setting()
    read_timeout_s: float = setting()
    drain_timeout_s: float = setting()
    router_name: str = setting(key="name", default="")

    @property
    def listen_host(self) -> str:
        """The host part of ``listen``."""
        return self.listen.rpartition(":")[0]

    @property
    def listen_port(self) -> int:
        """The port part of ``listen``."""
        return int(self.listen.rpartition(":")[2])

    @property
    def instance_name(self) -> str:
        """The name of this daemon in the fleet."""
        return self.router_name or f"router-{self.listen.replace(':', '-')}"


@attrs.frozen
class LogSettings:
    """The platform's log service (section ``[log]``); without it: standalone.

    :param url: base URL; empty means that this daemon runs without a log service.
    :param timeout_s: timeout of a call.
    :param poll_s: long-poll time of a read for the next configuration record.
    :param snapshot_interval_s: seconds between two routing snapshots.
    """

    url: str = setting(default="")
    timeout_s: float = setting(positive=True, default=2.0)
    poll_s: float = setting(positive=True, default=5.0)
    snapshot_interval_s: float = setting(positive=True, default=5.0)


@attrs.frozen
class InstanceSettings:
    """The platform's list of instances (section ``[instances]``).

    :param url: base URL; empty means that only the settings file is used.
    :param poll_interval_s: seconds between two reads of the list.
    """

    url: str = setting(default="")
    poll_interval_s: float = setting(positive=True, default=1.0)


@attrs.frozen
class FleetSettings:
    """Communication with peer daemons (section ``[fleet]``).

    :param control: nng address for peers and operators, e.g.
        ``tcp://127.0.0.1:8450``; empty means that this daemon has no peers.
    :param heartbeat_interval_s: seconds between two heartbeats to a peer.
    :param suspect_after_s: a peer without a heartbeat for this long is suspected.
    :param dead_after_s: a suspected peer without a heartbeat for this much longer is
        considered dead.
    :param summary_bytes_per_s: maximum bandwidth of a daemon for summaries.
    :param lease_s: duration of a lease.
    """

    control: str = setting(default="")
    heartbeat_interval_s: float = setting(positive=True, default=0.25)
    suspect_after_s: float = setting(positive=True, default=2.0)
    dead_after_s: float = setting(positive=True, default=4.0)
    summary_bytes_per_s: int = setting(positive=True, default=4000)
    lease_s: float = setting(positive=True, default=3.0)


@attrs.frozen
class AdmissionSettings:
    """Limits on retries and attempts (section ``[admission]``).

    :param max_attempts: maximum number of engines that one request is sent to.
    :param retry_budget_ratio: retries allowed per request in a window.
    :param retry_budget_slack: retries allowed beyond that ratio.
    :param retry_window_s: length of the window.
    :param first_byte_timeout_s: an attempt without any response for this long is
        abandoned; the request is retried on another engine where that is safe.
    """

    max_attempts: int = setting(positive=True, default=3)
    retry_budget_ratio: float = setting(default=0.2)
    retry_budget_slack: int = setting(default=10)
    retry_window_s: float = setting(positive=True, default=10.0)
    first_byte_timeout_s: float = setting(positive=True, default=10.0)


@attrs.frozen
class CallerSettings:
    """Limits on what callers send and hold (section ``[callers]``).

    :param max_header_bytes: size of a request's head.
    :param max_body_bytes: size of a request's body. A completion takes four times as
        much memory while it is served.
    :param header_timeout_s: time for a head, and for each pause within a body.
    :param body_timeout_s: time from the first byte of a request to its last one.
    :param idle_timeout_s: how long a connection may wait for the next request.
    :param memory_mb: memory of the machine in millions of bytes, from which what all
        callers may hold together is derived; 0 for as much as the system has.
    :param max_descriptors: descriptors that the daemon may use; 0 for as many as the
        system allows.
    """

    max_header_bytes: int = setting(positive=True, default=65_536)
    max_body_bytes: int = setting(positive=True, default=8_388_608)
    header_timeout_s: float = setting(positive=True, default=10.0)
    body_timeout_s: float = setting(positive=True, default=60.0)
    idle_timeout_s: float = setting(positive=True, default=75.0)
    memory_mb: float = setting(default=0.0)
    max_descriptors: int = setting(default=0)


@attrs.frozen
class Settings:
    """All settings of a router daemon.

    :param source: path of the file, or the name of the embedded default.
    :param configuration: the entities of the file, which initialize an empty log.
    """

    source: str
    daemon: DaemonSettings
    configuration: Configuration
    log: LogSettings = LogSettings()
    instances: InstanceSettings = InstanceSettings()
    fleet: FleetSettings = FleetSettings()
    admission: AdmissionSettings = AdmissionSettings()
    callers: CallerSettings = CallerSettings()
