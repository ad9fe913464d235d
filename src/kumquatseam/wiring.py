"""The composition root: builds every part of the daemon and owns their order.

:func:`build_daemon` is the only place that constructs parts and hands them to
each other. :class:`Daemon` starts them in dependency order and closes them in
reverse; failures while closing are raised together as an exception group.
"""

import gevent

from kumquatseam.callers import CallerInterface
from kumquatseam.engines import EngineClient, EngineEventSubscriber
from kumquatseam.logs import part_logger
from kumquatseam.metrics import RequestFigures
from kumquatseam.routing import Router, build_policy
from kumquatseam.settings import Settings

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
    :param callers: the caller interface among them.
    """

    def __init__(self, parts: list, callers: CallerInterface) -> None:
        self._parts = parts
        self.callers = callers

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
    router = Router(settings, policy)
    client = EngineClient(daemon.connect_timeout_s, daemon.read_timeout_s)
    subscriber = EngineEventSubscriber(
        [u.events_address for u in settings.upstreams], router.observe
    )
    callers = CallerInterface(settings, router, client, RequestFigures())
    _log.info(
        "Built with policy {} and {} engines.",
        router.policy_name,
        len(settings.upstreams),
    )
    return Daemon([client, subscriber, _SweepLoop(router), callers], callers)
