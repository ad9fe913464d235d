"""Run the gateway daemon until it receives a signal to stop."""

import os
import signal
import sys

import gevent
import gevent.event

from kumquatseam.errors import SettingsError
from kumquatseam.gateway import Adapter
from kumquatseam.gateway.wiring import Gateway
from kumquatseam.gatewayfile import GatewayFile, load_gateway_settings
from kumquatseam.logs import configure_json_logging, part_logger

_log = part_logger("program")

EXIT_STOP_FAILED = 1
EXIT_SETTINGS = 2
#: seconds between checks of the settings file, which may change without a signal.
SETTINGS_POLL_S = 1.0


def run(settings_path: str, adapter: Adapter) -> None:
    """Run the gateway until SIGTERM or SIGINT.

    :param settings_path: its INI file.
    :param adapter: integration with the platform it runs on.
    """
    try:
        file = load_gateway_settings(settings_path)
    except SettingsError as error:
        print(f"SettingsError: {error}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    lines = configure_json_logging(file.gateway.router_name, file.gateway.log_level)
    stop = gevent.event.Event()
    reload = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    gevent.signal_handler(signal.SIGHUP, reload.set)
    gateway = Gateway(file, adapter)
    gateway.start()
    gevent.spawn(_follow_settings, settings_path, gateway, reload, file)
    stop.wait()
    _log.info("Stop asked for.")
    status = 0
    try:
        gateway.close()
    except BaseException:  # noqa: BLE001 - also timeouts of gevent; logged
        _log.exception("The stop failed.")
        status = EXIT_STOP_FAILED
    _log.info("Stopped.")
    lines.close()
    # Neither threads of libraries nor the end of the interpreter may keep the process
    # alive past its grace period, least of all if the stop failed.
    os._exit(status)


def _follow_settings(
    path: str, gateway: Gateway, reload: gevent.event.Event, file: GatewayFile
) -> None:
    """Apply the settings file whenever it changes."""
    while True:
        reload.wait(SETTINGS_POLL_S)
        reload.clear()
        try:
            found = load_gateway_settings(path)
        except SettingsError as error:
            _log.bind(error=str(error)).error("Settings stay as they were.")
            continue
        if found != file:
            file = found
            gateway.apply(file)
