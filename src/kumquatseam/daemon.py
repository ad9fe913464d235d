"""``kumquatseamd``: the router daemon's program.

Usage::

    kumquatseamd                      # the embedded default settings
    kumquatseamd --settings FILE.ini  # a settings file
    kumquatseamd --policy round_robin # override the routing policy

It runs until SIGTERM or SIGINT, then drains and closes. On invalid settings it
exits at once with code 2 and prints the typed error to standard error.
"""

from gevent import monkey

monkey.patch_all()

import signal  # noqa: E402
import sys  # noqa: E402

import fire  # noqa: E402
import gevent  # noqa: E402
import gevent.event  # noqa: E402

from kumquatseam.errors import SettingsError  # noqa: E402
from kumquatseam.logs import configure_logging, part_logger  # noqa: E402
from kumquatseam.settings import POLICY_NAMES, load_settings  # noqa: E402
from kumquatseam.wiring import build_daemon  # noqa: E402

_log = part_logger("daemon")
EXIT_SETTINGS = 2


def run(
    settings: str | None = None, policy: str | None = None, log_level: str = "INFO"
):
    """Run the router daemon until SIGTERM.

    :param settings: path of an INI file; ``None`` for the embedded default.
    :param policy: routing policy that overrides the one in the settings.
    :param log_level: lowest log level that is written.
    """
    configure_logging("kumquatseamd", log_level)
    try:
        loaded = load_settings(settings)
        if policy is not None and policy not in POLICY_NAMES:
            raise SettingsError(
                "<command line>", "daemon", "policy", f"unknown policy {policy!r}"
            )
    except SettingsError as error:
        _log.error("{}", error)
        print(f"SettingsError: {error}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    daemon = build_daemon(loaded, policy)
    stop = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    daemon.start()
    stop.wait()
    _log.info("Signal received; shutting down.")
    daemon.close()


def main() -> None:
    """Entry point of ``kumquatseamd``."""
    fire.Fire(run)


if __name__ == "__main__":
    main()
