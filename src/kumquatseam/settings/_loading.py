"""Reading and checking the INI file.

Sections: ``[daemon]``, ``[priority:NAME]``, ``[model:NAME]``,
``[upstream:NAME]`` and ``[team:NAME]``. Every key is checked for type and
every name a section refers to must exist; the first fault found is raised as
:class:`~kumquatseam.errors.SettingsError`.
"""

import configparser
import importlib.resources
from collections.abc import Callable
from pathlib import Path

from kumquatseam.errors import SettingsError
from kumquatseam.settings._schema import (
    POLICY_NAMES,
    DaemonSettings,
    ModelSettings,
    PrioritySettings,
    Settings,
    TeamSettings,
    UpstreamSettings,
)

EMBEDDED_DEFAULT_NAME = "<embedded default>"
DAEMON_KEYS = {
    "listen": str,
    "zone": str,
    "policy": str,
    "block_size_tokens": int,
    "engine_dead_after_s": float,
    "index_entry_ttl_s": float,
    "prefill_ms_per_token": float,
    "queue_ms_per_request": float,
    "connect_timeout_s": float,
    "read_timeout_s": float,
    "drain_timeout_s": float,
}


def load_settings(path: str | None = None) -> Settings:
    """Read settings from ``path``, or the embedded default when ``None``.

    :param path: an INI file; a named file that does not exist is an error.
    :returns: the checked settings.
    :raises SettingsError: on the first fault found.
    """
    if path is None:
        text = (
            importlib.resources.files("kumquatseam.settings")
            .joinpath("default.ini")
            .read_text(encoding="utf-8")
        )
        return parse_settings(text, EMBEDDED_DEFAULT_NAME)
    file = Path(path)
    if not file.is_file():
        raise SettingsError(path, "", "", "file not found")
    return parse_settings(file.read_text(encoding="utf-8"), path)


def parse_settings(text: str, source: str) -> Settings:
    """Parse and check INI text.

    :param text: the INI document.
    :param source: where it came from, used in error messages.
    :returns: the checked settings.
    :raises SettingsError: on the first fault found.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=source)
    except configparser.Error as error:
        raise SettingsError(source, "", "", f"not valid INI: {error}") from error
    reader = _SectionReader(parser, source)
    settings = Settings(
        source=source,
        daemon=reader.daemon(),
        priorities=tuple(reader.each("priority", reader.priority)),
        models=tuple(reader.each("model", reader.model)),
        upstreams=tuple(reader.each("upstream", reader.upstream)),
        teams=tuple(reader.each("team", reader.team)),
    )
    _check_references(settings)
    return settings


class _SectionReader:
    """Turns INI sections into settings records, raising typed errors."""

    def __init__(self, parser: configparser.ConfigParser, source: str) -> None:
        self._parser = parser
        self._source = source
        for section in parser.sections():
            kind = section.split(":", 1)[0]
            if section != "daemon" and kind not in _KINDS:
                self._fail(section, "", "unknown section")

    def _fail(self, section: str, key: str, reason: str):
        raise SettingsError(self._source, section, key, reason)

    def _get(self, section: str, key: str, kind: type):
        raw = self._parser.get(section, key, fallback=None)
        if raw is None or raw.strip() == "":
            self._fail(section, key, "missing")
        try:
            value = kind(raw.strip())
        except ValueError:
            self._fail(section, key, f"not a valid {kind.__name__}: {raw!r}")
        if kind in (int, float) and value < 0:
            self._fail(section, key, f"must not be negative: {raw!r}")
        return value

    def _names(self, section: str, key: str, required: bool = True):
        raw = self._parser.get(section, key, fallback="")
        names = tuple(n.strip() for n in raw.split(",") if n.strip())
        if required and not names:
            self._fail(section, key, "missing")
        return names

    def _check_keys(self, section: str, allowed: set[str]) -> None:
        for key in self._parser[section]:
            if key not in allowed:
                self._fail(section, key, "unknown key")

    def each(self, kind: str, read: Callable[[str, str], object]):
        for section in self._parser.sections():
            if section.startswith(kind + ":"):
                yield read(section, section.split(":", 1)[1].strip())

    def daemon(self) -> DaemonSettings:
        if not self._parser.has_section("daemon"):
            self._fail("daemon", "", "missing section")
        self._check_keys("daemon", set(DAEMON_KEYS))
        values = {
            key: self._get("daemon", key, kind) for key, kind in DAEMON_KEYS.items()
        }
        host, _, port = values.pop("listen").rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            self._fail("daemon", "listen", "must be HOST:PORT")
        if values["policy"] not in POLICY_NAMES:
            self._fail("daemon", "policy", f"must be one of {', '.join(POLICY_NAMES)}")
        if values["block_size_tokens"] == 0:
            self._fail("daemon", "block_size_tokens", "must be positive")
        return DaemonSettings(listen_host=host, listen_port=int(port), **values)

    def priority(self, section: str, name: str) -> PrioritySettings:
        self._check_keys(section, {"rank"})
        return PrioritySettings(name=name, rank=self._get(section, "rank", int))

    def model(self, section: str, name: str) -> ModelSettings:
        self._check_keys(section, {"version", "adapters"})
        return ModelSettings(
            name=name,
            version=self._get(section, "version", str),
            adapters=self._names(section, "adapters", required=False),
        )

    def upstream(self, section: str, name: str) -> UpstreamSettings:
        self._check_keys(section, {"url", "events", "zone", "models", "slots"})
        url = self._get(section, "url", str)
        if not url.startswith(("http://", "https://")):
            self._fail(section, "url", "must start with http:// or https://")
        return UpstreamSettings(
            name=name,
            url=url.rstrip("/"),
            events_address=self._get(section, "events", str),
            zone=self._get(section, "zone", str),
            models=self._names(section, "models"),
            slots=self._positive(section, "slots"),
        )

    def _positive(self, section: str, key: str) -> int:
        value = self._get(section, key, int)
        if value == 0:
            self._fail(section, key, "must be positive")
        return value

    def team(self, section: str, name: str) -> TeamSettings:
        allowed = {"api_keys", "priority_classes", "models", "upstreams"}
        self._check_keys(section, allowed)
        return TeamSettings(
            name=name,
            api_keys=self._names(section, "api_keys"),
            priority_classes=self._names(section, "priority_classes"),
            models=self._names(section, "models"),
            upstreams=self._names(section, "upstreams"),
        )


_KINDS = ("priority", "model", "upstream", "team")


def _check_references(settings: Settings) -> None:
    """Raise if a section names a priority, model or upstream that is not set."""
    priorities = {p.name for p in settings.priorities}
    models = {m.name for m in settings.models}
    upstreams = {u.name for u in settings.upstreams}
    seen_keys: dict[str, str] = {}
    for upstream in settings.upstreams:
        _check_known(
            settings.source,
            f"upstream:{upstream.name}",
            "models",
            upstream.models,
            models,
        )
    for team in settings.teams:
        section = f"team:{team.name}"
        _check_known(
            settings.source,
            section,
            "priority_classes",
            team.priority_classes,
            priorities,
        )
        _check_known(settings.source, section, "models", team.models, models)
        _check_known(settings.source, section, "upstreams", team.upstreams, upstreams)
        for key in team.api_keys:
            if key in seen_keys:
                raise SettingsError(
                    settings.source,
                    section,
                    "api_keys",
                    f"key also belongs to team {seen_keys[key]}",
                )
            seen_keys[key] = team.name


def _check_known(source, section, key, names, known) -> None:
    for name in names:
        if name not in known:
            raise SettingsError(source, section, key, f"unknown name {name!r}")
