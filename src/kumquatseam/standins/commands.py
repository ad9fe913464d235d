"""``kumquatseam standin ...``: runs stand-ins of the outside systems.

For tests, the demo, the bench and trying things out; never in production.
"""

import signal

import gevent
import gevent.event

from kumquatseam.logs import configure_logging


class StandinCommands:
    """Run stand-ins of the outside systems (for tests, the demo and the bench)."""

    def engine(
        self, name: str, port: int, events_port: int, versions="", **options
    ) -> None:
        """Run a stand-in model engine until SIGTERM.

        :param name: replica name, e.g. ``nyelvmodell-flotta-0``.
        :param port: HTTP port on 127.0.0.1.
        :param events_port: TCP port of its nng event stream on 127.0.0.1.
        :param versions: weights it starts with, ``model=version``, by commas.
        :param options: any other field of ``EngineStandinSettings``.
        """
        from kumquatseam.standins.engine import EngineStandinSettings, StandinEngine

        configure_logging(f"engine:{name}")
        listed = versions.split(",") if isinstance(versions, str) else versions
        settings = EngineStandinSettings(
            name=name,
            port=port,
            events_address=f"tcp://127.0.0.1:{events_port}",
            versions=tuple(version for version in listed if version),
            **options,
        )
        run_until_signal(StandinEngine(settings))

    def log(
        self, port: int, appends_per_s: int = 400, retention_s: float = 300.0
    ) -> None:
        """Run a stand-in log service until SIGTERM."""
        from kumquatseam.standins.logservice import (
            LogStore,
            LogStoreLimits,
            StandinLogService,
        )

        configure_logging("logservice")
        store = LogStore(LogStoreLimits(appends_per_s, retention_s))
        run_until_signal(StandinLogService(port, store))

    def instances(self, port: int, lag_s: float = 0.5) -> None:
        """Run a stand-in instance list until SIGTERM."""
        from kumquatseam.standins.instances import StandinInstanceList

        configure_logging("instances")
        run_until_signal(StandinInstanceList(port, lag_s))

    def weights(
        self, port: int, concurrent_loads: int = 3, load_s: float = 0.2
    ) -> None:
        """Run a stand-in weight store until SIGTERM."""
        from kumquatseam.standins.weights import StandinWeightStore

        configure_logging("weights")
        run_until_signal(StandinWeightStore(port, concurrent_loads, load_s))

    def service(self, name: str, port: int) -> None:
        """Run a stand-in plain service until SIGTERM."""
        from kumquatseam.standins.services import StandinService

        configure_logging(f"service:{name}")
        run_until_signal(StandinService(name, port))


def run_until_signal(part) -> None:
    """Start ``part``, wait for SIGTERM or SIGINT, and close it."""
    stop = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    part.start()
    stop.wait()
    part.close()
