"""``kumquatseam``: the operator's command-line tool.

Commands::

    kumquatseam query 'show running'       # query every router
    kumquatseam apply 'drain upstream X'   # change the fleet's configuration
    kumquatseam demo                       # send a burst through a demo router
    kumquatseam fleet                      # run a fleet on loopback to try commands
    kumquatseam bench --scenario hivatal   # seeded benchmark in modelled time
    kumquatseam slopes                     # measure the slopes in docs/CAPACITY.md
    kumquatseam check-settings FILE.ini    # validate a settings file
    kumquatseam check-gateway-settings FILE.ini
    kumquatseam explain REQUEST_ID [FILES] # explain a request's outcome from logs
    kumquatseam standin engine|log|instances|weights|service ...

Built on ``fire``; run ``kumquatseam COMMAND --help`` for each command's flags.
"""

from gevent import monkey

monkey.patch_all()

import getpass  # noqa: E402
import sys  # noqa: E402
import warnings  # noqa: E402

import fire  # noqa: E402

from kumquatseam.errors import KumquatseamError, SettingsError  # noqa: E402
from kumquatseam.gatewayfile import load_gateway_settings  # noqa: E402
from kumquatseam.logs import configure_logging  # noqa: E402
from kumquatseam.settings import (  # noqa: E402
    POLICY_NAMES,
    Settings,
    load_settings,
)

EXIT_SETTINGS = 2
EXIT_CONFLICT = 3
EXIT_REFUSED = 4
EXIT_UNAVAILABLE = 5


class Commands:
    """The kumquatseam operator tool."""

    def __init__(self) -> None:
        from kumquatseam.standins.commands import StandinCommands

        self.standin = StandinCommands()

    def check_settings(self, path: str | None = None) -> str:
        """Validate a settings file; without one, the embedded default.

        :returns: a one-line result; exits 2 if the file is invalid.
        """
        try:
            settings = load_settings(path)
        except SettingsError as error:
            print(f"SettingsError: {error}", file=sys.stderr)
            sys.exit(EXIT_SETTINGS)
        found = settings.configuration
        return (
            f"settings: {settings.source} is valid: {len(found.teams)} teams, "
            f"{len(found.upstreams)} upstreams, {len(found.models)} models"
        )

    def check_gateway_settings(self, path: str) -> str:
        """Validate a gateway's settings file.

        :returns: a one-line result; exits 2 if the file is invalid.
        """
        try:
            file = load_gateway_settings(path)
        except SettingsError as error:
            print(f"SettingsError: {error}", file=sys.stderr)
            sys.exit(EXIT_SETTINGS)
        return f"settings: {path} is valid: gateway {file.gateway.router_name}"

    def explain(self, request_id: str, *files: str, json: bool = False) -> None:
        """Explain the outcome of a request from the log lines of gateways.

        :param request_id: id of the request.
        :param files: log files of any number of processes; default: standard input.
        :param json: print one JSON object instead of text.
        """
        from kumquatseam.explain import explain_request, read_lines
        from kumquatseam.explain.printing import explanation_json, explanation_text

        try:
            lines = list(read_lines(_read_text_lines(files)))
        except OSError as error:
            print(f"explain: cannot read {error.filename}: {error}", file=sys.stderr)
            sys.exit(EXIT_SETTINGS)
        explanation = explain_request(str(request_id), lines)
        print(explanation_json(explanation) if json else explanation_text(explanation))
        if not explanation.lines:
            sys.exit(EXIT_UNAVAILABLE)

    def query(
        self,
        text: str,
        settings: str | None = None,
        routers: str | None = None,
        json: bool = False,
        timeout_s: float = 2.0,
    ) -> None:
        """Send a query to every router, e.g. ``show running where team = "pecs"``.

        :param text: the query.
        :param settings: a router's INI file, which names the instance list.
        :param routers: control addresses, comma-separated, instead of the list.
        :param json: print one JSON object instead of a table.
        :param timeout_s: timeout of a query to one router.
        """
        from kumquatseam.operators.printing import answer_json, answer_table

        configure_logging("kumquatseam", "ERROR")
        console = _console(_load_or_exit(settings), routers, timeout_s)
        try:
            answer = console.query(_as_text(text))
        except KumquatseamError as error:
            _exit(error)
        print(answer_json(answer) if json else answer_table(answer))

    def apply(
        self,
        text: str,
        settings: str | None = None,
        routers: str | None = None,
        operator: str | None = None,
        json: bool = False,
        wait_s: float = 5.0,
        timeout_s: float = 2.0,
    ) -> None:
        """Change the fleet's configuration, e.g. ``drain upstream seer-pool-3``.

        Exits 2 if the text is invalid, 3 if another command was appended
        concurrently, 4 if it is invalid for the configuration, 5 if the log service
        did not store it; nothing is changed in these cases.

        :param text: commands, separated by semicolons; applied atomically.
        :param settings: a router's INI file, which names the log service.
        :param routers: control addresses, comma-separated, instead of the list.
        :param operator: name of the operator (default: the user's name).
        :param json: print one JSON object instead of text.
        :param wait_s: maximum wait for the routers to apply the commands.
        """
        from kumquatseam.operators.printing import applied_json, applied_text

        configure_logging("kumquatseam", "ERROR")
        console = _console(_load_or_exit(settings), routers, timeout_s)
        try:
            applied = console.apply(
                _as_text(text), operator or getpass.getuser(), wait_s
            )
        except KumquatseamError as error:
            _exit(error)
        print(applied_json(applied) if json else applied_text(applied))

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
        :param seed: random seed of the burst and the engines.
        :param policies: comma-separated policies to compare on the same burst.
        :param log_dir: folder for the processes' logs (default: a temporary one).
        """
        from kumquatseam.bench import format_outcomes, run_demo

        configure_logging("kumquatseam")
        chosen = [p.strip() for p in policies.split(",") if p.strip()]
        unknown = [p for p in chosen if p not in POLICY_NAMES]
        if unknown:
            print(f"SettingsError: unknown policies {unknown}", file=sys.stderr)
            sys.exit(EXIT_SETTINGS)
        outcomes = run_demo(chosen, requests, seed, concurrency, arrival_gap_s, log_dir)
        print(format_outcomes(outcomes))

    def fleet(self, routers: int = 3, engines: int = 3, log_dir: str | None = None):
        """Run a fleet on loopback until Ctrl-C, to try commands.

        :param routers: number of router daemons.
        :param engines: number of stand-in engines.
        :param log_dir: folder for settings and logs (default: a temporary one).
        """
        from kumquatseam.bench import run_fleet

        configure_logging("kumquatseam", "WARNING")
        run_fleet(routers, engines, log_dir)

    def slopes(self) -> None:
        """Measure the slopes that docs/CAPACITY.md is computed from."""
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
        """Run every policy and the oracle on a seeded scenario in modelled time.

        :param scenario: ``hivatal``, ``exchange``, ``engine-crash``,
            ``event-loss`` or ``hot-shift``.
        :param seed: random seed of the trace.
        :param requests: number of requests in the trace.
        :param json: print one JSON object instead of the table.
        :param plot: image file for a plot of time to first token and hit rate over time
            (needs the ``plot`` extra: matplotlib).
        """
        from kumquatseam.bench._report import format_json, format_report, run_bench

        configure_logging("kumquatseam", "WARNING")
        report = run_bench(scenario, seed, requests, progress=not json)
        print(format_json(report) if json else format_report(report))
        if plot:
            from kumquatseam.bench._plot import plot_report

            plot_report(report, plot)


def _read_text_lines(files: tuple[str, ...]):
    """Yield the lines of ``files``, or of standard input if there are none."""
    if not files:
        yield from sys.stdin
    for name in files:
        with open(name, encoding="utf-8", errors="replace") as file:
            yield from file


def _load_or_exit(path: str | None) -> Settings:
    try:
        return load_settings(path)
    except SettingsError as error:
        _exit(error)


def _as_text(argument) -> str:
    """Return the argument as text, since fire may have converted it."""
    return argument if isinstance(argument, str) else str(argument)


def _console(settings: Settings, routers: str | None, timeout_s: float):
    """Return a console for ``routers``, else the instance list, else this daemon."""
    from kumquatseam.fleet import router_addresses
    from kumquatseam.instances import HttpInstanceList
    from kumquatseam.logservice import HttpLogService
    from kumquatseam.operators import FleetConsole

    if routers:
        names = routers if isinstance(routers, tuple | list) else routers.split(",")
        addresses = {name: name for name in names}
    elif settings.instances.url:
        try:
            listed = HttpInstanceList(settings.instances.url, timeout_s).read()
        except KumquatseamError as error:
            _exit(error)
        addresses = router_addresses(listed)
    else:
        own = settings.fleet.control
        addresses = {settings.daemon.instance_name: own} if own else {}
    log = None
    if settings.log.url:
        log = HttpLogService(settings.log.url, settings.log.timeout_s)
    return FleetConsole(addresses, log, settings.configuration, timeout_s)


def _exit(error: KumquatseamError):
    """Print an error and exit with the code of its class."""
    from kumquatseam.fleet import ChangeRefusedError
    from kumquatseam.logservice import LogServiceError
    from kumquatseam.operators import CommandConflictError

    exit_codes = {
        CommandConflictError: EXIT_CONFLICT,
        ChangeRefusedError: EXIT_REFUSED,
        LogServiceError: EXIT_UNAVAILABLE,
    }
    print(f"{type(error).__name__}: {error}", file=sys.stderr)
    found = (code for cls, code in exit_codes.items() if isinstance(error, cls))
    sys.exit(next(found, EXIT_SETTINGS))


def main() -> None:
    """Entry point of ``kumquatseam``."""
    # fire parses every argument as a Python literal, which warns about paths.
    warnings.simplefilter("ignore", SyntaxWarning)
    fire.Fire(Commands, name="kumquatseam")


if __name__ == "__main__":
    main()
