"""``kumquatseam``: the operator's command-line tool.

Commands::

    kumquatseam query 'show running'       # ask every router
    kumquatseam apply 'drain upstream X'   # change the fleet's configuration
    kumquatseam demo                       # the main job on the embedded default
    kumquatseam fleet                      # a fleet on loopback to try commands on
    kumquatseam bench --scenario hivatal   # seeded bench in modelled time
    kumquatseam slopes                     # the slopes behind docs/CAPACITY.md
    kumquatseam check-settings FILE.ini    # check a settings file
    kumquatseam check-gateway-settings FILE.ini
    kumquatseam explain REQUEST_ID [FILES] # a request's story out of log lines
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
from kumquatseam.logs import configure_logging  # noqa: E402
from kumquatseam.settings import (  # noqa: E402
    POLICY_NAMES,
    Settings,
    load_gateway_settings,
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
        """Check a settings file (none: the embedded default).

        :returns: a one-line verdict; exits 2 on a fault.
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
        """Check a gateway's settings file.

        :returns: a one-line verdict; exits 2 on a fault.
        """
        try:
            file = load_gateway_settings(path)
        except SettingsError as error:
            print(f"SettingsError: {error}", file=sys.stderr)
            sys.exit(EXIT_SETTINGS)
        return f"settings: {path} is valid: gateway {file.gateway.router_name}"

    def explain(self, request_id: str, *files: str, json: bool = False) -> None:
        """Tell what happened to a request, out of gateways' log lines.

        :param request_id: the request's id.
        :param files: log files of any number of processes; none: standard input.
        :param json: print one JSON object instead of text.
        """
        from kumquatseam.explain import read_lines, tell_story
        from kumquatseam.explain.printing import story_json, story_text

        try:
            lines = list(read_lines(_texts(files)))
        except OSError as error:
            print(f"explain: cannot read {error.filename}: {error}", file=sys.stderr)
            sys.exit(EXIT_SETTINGS)
        story = tell_story(str(request_id), lines)
        print(story_json(story) if json else story_text(story))
        if not story.lines:
            sys.exit(EXIT_UNAVAILABLE)

    def query(
        self,
        text: str,
        settings: str | None = None,
        routers: str | None = None,
        json: bool = False,
        timeout_s: float = 2.0,
    ) -> None:
        """Ask every router a query, e.g. ``show running where team = "pecs"``.

        :param text: the query.
        :param settings: a router's INI file, which names the instance list.
        :param routers: control addresses, comma-separated, instead of the list.
        :param json: print one JSON object instead of a table.
        :param timeout_s: how long a router's answer is waited for.
        """
        from kumquatseam.operators.printing import answer_json, answer_table

        configure_logging("kumquatseam", "ERROR")
        console = _console(_load(settings), routers, timeout_s)
        try:
            answer = console.query(_text(text))
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

        Exits 2 on a fault in the text, 3 if another operator's command came
        first, 4 if it does not fit the configuration, 5 if the log service
        did not take it; nothing is changed then.

        :param text: commands, separated by semicolons; all apply or none.
        :param settings: a router's INI file, which names the log service.
        :param routers: control addresses, comma-separated, instead of the list.
        :param operator: who issues it (default: the user's name).
        :param json: print one JSON object.
        :param wait_s: how long to watch the routers put it in force.
        """
        from kumquatseam.operators.printing import applied_json, applied_text

        configure_logging("kumquatseam", "ERROR")
        console = _console(_load(settings), routers, timeout_s)
        try:
            applied = console.apply(_text(text), operator or getpass.getuser(), wait_s)
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
            sys.exit(EXIT_SETTINGS)
        outcomes = run_demo(chosen, requests, seed, concurrency, arrival_gap_s, log_dir)
        print(format_outcomes(outcomes))

    def fleet(self, routers: int = 3, engines: int = 3, log_dir: str | None = None):
        """Run a whole fleet on loopback until Ctrl-C, to try commands on.

        :param routers: router daemons.
        :param engines: stand-in engines.
        :param log_dir: folder for settings and logs (default: a temporary one).
        """
        from kumquatseam.bench import run_fleet

        configure_logging("kumquatseam", "WARNING")
        run_fleet(routers, engines, log_dir)

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


def _texts(files: tuple[str, ...]):
    """Yield the lines of ``files``, or of standard input without any."""
    if not files:
        yield from sys.stdin
    for name in files:
        with open(name, encoding="utf-8", errors="replace") as file:
            yield from file


def _load(path: str | None) -> Settings:
    try:
        return load_settings(path)
    except SettingsError as error:
        _exit(error)


def _text(argument) -> str:
    """Return a language text that fire may have read as something else."""
    return argument if isinstance(argument, str) else str(argument)


def _console(settings: Settings, routers: str | None, timeout_s: float):
    """Return a console for the routers named, listed, or the settings' own."""
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
    """Print a typed failure and exit with the code of its kind."""
    from kumquatseam.fleet import ChangeRefusedError
    from kumquatseam.logservice import LogServiceError
    from kumquatseam.operators import CommandConflictError

    codes = {
        CommandConflictError: EXIT_CONFLICT,
        ChangeRefusedError: EXIT_REFUSED,
        LogServiceError: EXIT_UNAVAILABLE,
    }
    print(f"{type(error).__name__}: {error}", file=sys.stderr)
    found = (code for cls, code in codes.items() if isinstance(error, cls))
    sys.exit(next(found, EXIT_SETTINGS))


def main() -> None:
    """Entry point of ``kumquatseam``."""
    # fire tries every argument as a Python literal; paths make it warn.
    warnings.simplefilter("ignore", SyntaxWarning)
    fire.Fire(Commands, name="kumquatseam")


if __name__ == "__main__":
    main()
