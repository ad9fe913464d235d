"""``kumquatseam``: the operator's command-line tool.

Commands::

    kumquatseam demo                       # the main job on the embedded default
    kumquatseam bench --scenario hivatal   # seeded bench in modelled time
    kumquatseam slopes                     # the slopes behind docs/CAPACITY.md
    kumquatseam check-settings FILE.ini    # check a settings file
    kumquatseam standin engine --name N --port P --events-port E

Built on ``fire``; run ``kumquatseam COMMAND --help`` for each command's flags.
"""

from gevent import monkey

monkey.patch_all()

import signal  # noqa: E402
import sys  # noqa: E402

import fire  # noqa: E402
import gevent  # noqa: E402
import gevent.event  # noqa: E402

from kumquatseam.errors import SettingsError  # noqa: E402
from kumquatseam.logs import configure_logging  # noqa: E402
from kumquatseam.settings import POLICY_NAMES, load_settings  # noqa: E402


class Standins:
    """Run stand-ins of the outside systems (for tests, the demo and the bench)."""

    def engine(
        self,
        name: str,
        port: int,
        events_port: int,
        seed: int = 7,
        block_size_tokens: int = 16,
        capacity_blocks: int = 400,
        prefill_ms_per_token: float = 0.2,
        decode_ms_per_token: float = 4.0,
        slots: int = 4,
        event_delay_s: float = 0.2,
        event_loss_ratio: float = 0.05,
        load_lag_s: float = 0.5,
        time_scale: float = 1.0,
        crossed_answers: bool = False,
    ) -> None:
        """Run a stand-in model engine until SIGTERM.

        :param name: replica name, e.g. ``nyelvmodell-flotta-0``.
        :param port: HTTP port on 127.0.0.1.
        :param events_port: TCP port of its nng event stream on 127.0.0.1.
        """
        from kumquatseam.standins.engine import EngineStandinSettings, StandinEngine

        configure_logging(f"engine:{name}")
        engine = StandinEngine(
            EngineStandinSettings(
                name=name,
                port=port,
                events_address=f"tcp://127.0.0.1:{events_port}",
                block_size_tokens=block_size_tokens,
                capacity_blocks=capacity_blocks,
                prefill_ms_per_token=prefill_ms_per_token,
                decode_ms_per_token=decode_ms_per_token,
                slots=slots,
                event_delay_s=event_delay_s,
                event_loss_ratio=event_loss_ratio,
                load_lag_s=load_lag_s,
                seed=seed,
                time_scale=time_scale,
                crossed_answers=crossed_answers,
            )
        )
        _run_until_signal(engine)


class Commands:
    """The kumquatseam operator tool."""

    def __init__(self) -> None:
        self.standin = Standins()

    def check_settings(self, path: str | None = None) -> str:
        """Check a settings file (none: the embedded default).

        :returns: a one-line verdict; exits 2 on a fault.
        """
        try:
            settings = load_settings(path)
        except SettingsError as error:
            print(f"SettingsError: {error}", file=sys.stderr)
            sys.exit(2)
        found = settings.configuration
        return (
            f"settings: {settings.source} is valid: {len(found.teams)} teams, "
            f"{len(found.upstreams)} upstreams, {len(found.models)} models"
        )

    def demo(
        self,
        requests: int = 240,
        seed: int = 11,
        concurrency: int = 12,
        arrival_gap_s: float = 0.01,
        policies: str = "prefix_aware,round_robin,least_loaded",
        log_dir: str | None = None,
    ) -> None:
        """Run the router and three stand-in engines on loopback and send a burst.

        :param requests: requests in the burst.
        :param seed: seed of the burst and the engines.
        :param policies: comma-separated policies to compare on the same burst.
        :param log_dir: folder for the processes' logs (default: a temporary one).
        """
        from kumquatseam.bench import format_outcomes, run_demo

        configure_logging("kumquatseam")
        chosen = [p.strip() for p in policies.split(",") if p.strip()]
        unknown = [p for p in chosen if p not in POLICY_NAMES]
        if unknown:
            print(f"SettingsError: unknown policies {unknown}", file=sys.stderr)
            sys.exit(2)
        outcomes = run_demo(chosen, requests, seed, concurrency, arrival_gap_s, log_dir)
        print(format_outcomes(outcomes))

    def slopes(self) -> None:
        """Measure the slopes docs/CAPACITY.md is worked out from."""
        from kumquatseam.bench._slopes import format_slopes, measure_all

        configure_logging("kumquatseam", "WARNING")
        print(format_slopes(measure_all()))

    def bench(
        self,
        scenario: str = "hivatal",
        seed: int = 1,
        requests: int = 1500,
        json: bool = False,
        plot: str | None = None,
    ) -> None:
        """Run every policy and the oracle on a seeded scenario, in modelled time.

        :param scenario: ``hivatal``, ``exchange``, ``engine-crash``,
            ``event-loss`` or ``hot-shift``.
        :param seed: seed of the trace.
        :param requests: arrivals in the trace.
        :param json: print one JSON object instead of the table.
        :param plot: also draw ttft and hit rate over time to this image file
            (needs the ``plot`` extra: matplotlib).
        """
        from kumquatseam.bench._report import format_json, format_report, run_bench

        configure_logging("kumquatseam", "WARNING")
        report = run_bench(scenario, seed, requests, progress=not json)
        print(format_json(report) if json else format_report(report))
        if plot:
            from kumquatseam.bench._plot import plot_report

            plot_report(report, plot)


def _run_until_signal(part) -> None:
    stop = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    part.start()
    stop.wait()
    part.close()


def main() -> None:
    """Entry point of ``kumquatseam``."""
    fire.Fire(Commands, name="kumquatseam")


if __name__ == "__main__":
    main()
