"""The composition root: builds every part of the daemon and owns their order.

:func:`build_daemon` is the only place that constructs parts and hands them to
each other. :class:`Daemon` starts them in dependency order and closes them in
reverse; failures while closing are raised together as an exception group.
"""

import time

import attrs
import gevent

from kumquatseam.admission import RetryBudget, TeamLimiter
from kumquatseam.callers import CallerInterface
from kumquatseam.engines import EngineEventSubscriber, HttpEngineClient
from kumquatseam.fleet import ConfigurationFollower, LiveConfiguration
from kumquatseam.idempotency import ClaimLedger
from kumquatseam.logs import part_logger
from kumquatseam.logservice import HttpLogService
from kumquatseam.metrics import RequestFigures
from kumquatseam.routing import Router, build_policy
from kumquatseam.services import HttpServiceClient
from kumquatseam.serving import (
    CompletionServer,
    RefusalLog,
    RunningRequests,
    ServiceServer,
)
from kumquatseam.settings import Configuration, Settings

_log = part_logger("daemon")

#: seconds between two sweeps for engines that went silent.
SWEEP_INTERVAL_S = 0.5


class _SweepLoop:
    """Periodically drops the cache entries of engines that went silent."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            self._router.sweep()


class Daemon:
    """A running router daemon: its parts in start order.

    :param parts: objects with ``start()`` and ``close()``, in start order.
    """

    def __init__(self, parts: list) -> None:
        self._parts = parts

    def start(self) -> None:
        """Start every part; the caller interface comes last."""
        for part in self._parts:
            part.start()

    def close(self) -> None:
        """Close every part in reverse order.

        :raises ExceptionGroup: of every part's failure to close, if any.
        """
        failures = []
        for part in reversed(self._parts):
            try:
                part.close()
            except Exception as error:  # noqa: BLE001 - gathered and raised below
                failures.append(error)
        if failures:
            raise ExceptionGroup("daemon: parts failed to close", failures)


def build_daemon(settings: Settings, policy_name: str | None = None) -> Daemon:
    """Build a daemon from settings.

    :param settings: checked settings.
    :param policy_name: overrides ``[daemon] policy`` when given.
    :returns: the daemon, not yet started.
    """
    daemon = settings.daemon
    policy = build_policy(
        policy_name or daemon.policy,
        daemon.block_size_tokens,
        daemon.prefill_ms_per_token,
        daemon.queue_ms_per_request,
    )
    live = LiveConfiguration(settings.configuration)
    router = Router(live, daemon, policy)
    subscriber = EngineEventSubscriber(router.observe)
    _follow_engines(subscriber, live)
    engines = HttpEngineClient(daemon.connect_timeout_s, daemon.read_timeout_s)
    figures = RequestFigures()
    refusals = RefusalLog()
    running = RunningRequests()
    parts: list = [engines, subscriber, _SweepLoop(router)]
    claims = None
    if settings.log.url:
        log_service = HttpLogService(settings.log.url, settings.log.timeout_s)
        claims = ClaimLedger(log_service)
        follower = ConfigurationFollower(log_service, live, settings.log.poll_s)
        parts += [follower, claims]
    limiter = TeamLimiter()
    retry_budget = RetryBudget(settings.admission)
    shared = (claims, limiter, retry_budget, settings.admission, running)
    callers = CallerInterface(
        daemon,
        live,
        CompletionServer(router, engines, *shared),
        ServiceServer(
            HttpServiceClient(daemon.connect_timeout_s, daemon.read_timeout_s), *shared
        ),
        refusals,
        figures,
        lambda: _status(router, live, figures),
    )
    _log.info(
        "Built with policy {} and {} engines.",
        router.policy_name,
        len(live.current.upstreams),
    )
    return Daemon([*parts, callers])


def _follow_engines(subscriber: EngineEventSubscriber, live: LiveConfiguration):
    """Keep ``subscriber`` on the engines of the configuration in force."""

    def follow(configuration: Configuration) -> None:
        subscriber.follow(u.events_address for u in configuration.upstreams)

    follow(live.current)
    live.on_change(follow)


def _status(router: Router, live: LiveConfiguration, figures: RequestFigures) -> dict:
    now_s = time.monotonic()
    fleet = router.fleet
    engines = {
        name: {
            "live": fleet.is_live(name, now_s),
            "epoch": fleet.epoch(name),
            "load_requests": fleet.load_requests(name),
            "index_blocks": router.index.size_blocks(name),
            "lost_event_batches": router.index.lost_batches(name),
        }
        for name in fleet.names()
    }
    summary = figures.summary()
    return {
        "policy": router.policy_name,
        "next_offset": live.next_offset,
        "engines": engines,
        "figures": {
            **attrs.asdict(summary),
            "prefix_hit_rate": summary.prefix_hit_rate,
            "class_ttft_p99_ms": figures.class_ttft_ms(99),
        },
    }
