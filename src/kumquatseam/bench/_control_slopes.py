"""Slopes of the control plane: heartbeats, membership, configuration, claims.

Part of ``kumquatseam slopes``. Membership at the letter's size runs in
modelled time over the daemon's own classes; bytes and times of real fleets
come from :class:`~kumquatseam.bench.LocalFleet`.
"""

import tempfile
import time
import tracemalloc
from pathlib import Path

import attrs
from loguru import logger

from kumquatseam.bench._fleet import FleetPlan, LocalFleet
from kumquatseam.bench._slope import Slope
from kumquatseam.fleet import (
    ALTER,
    DEAD,
    Command,
    ConfigurationState,
    EntityChange,
    FieldValue,
    Membership,
    Placement,
    RouterSummary,
    append_command,
    load_newest,
    read_current,
)
from kumquatseam.fleet._messages import CONTROL_CODEC
from kumquatseam.idempotency._records import CLAIM_CODEC, Claim, ClaimTable
from kumquatseam.settings import (
    Configuration,
    FleetSettings,
    ModelSettings,
    PrioritySettings,
    TeamSettings,
    UpstreamSettings,
)
from kumquatseam.standins.logservice import InMemoryLogService, LogStore

#: the letter's size.
ROUTERS = 860
UPSTREAMS = 8_000
TEAMS = 490
MODELS = 33
#: what a summary carries at the letter's size (the budget allows no more).
LOADS = 20
PLACEMENTS = 8
#: heartbeat interval at the letter's size (docs/CAPACITY.md).
INTERVAL_S = 1.0


@attrs.define
class _ModelClock:
    now_s: float = 0.0

    def __call__(self) -> float:
        return self.now_s


def measure_membership(routers: int = ROUTERS) -> list[Slope]:
    """Heartbeats of a whole fleet in modelled time, and news of a death."""
    clock = _ModelClock()
    settings = FleetSettings(heartbeat_interval_s=INTERVAL_S)
    addresses = {
        f"router-{n}": f"tcp://10.0.{n // 250}.{n % 250}:8450" for n in (range(routers))
    }
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    first = Membership("router-0", addresses["router-0"], 1, settings, clock)
    first.set_listed(addresses)
    member_bytes = (tracemalloc.get_traced_memory()[0] - before) / (routers - 1)
    tracemalloc.stop()
    fleet = {"router-0": first}
    for name, address in addresses.items():
        if name != "router-0":
            fleet[name] = Membership(name, address, 1, settings, clock)
            fleet[name].set_listed(addresses)
    logger.disable("kumquatseam")
    summary = _summary()
    for _ in range(3):
        calm = _round(fleet, clock, summary)
    fleet.pop("router-7")
    began_s = clock.now_s
    while not all(_knows_dead(m, "router-7") for m in fleet.values()):
        _round(fleet, clock, summary)
    logger.enable("kumquatseam")
    rate = calm.messages / routers / INTERVAL_S
    return [
        Slope("member_bytes", member_bytes, "bytes", f"one of {routers} members"),
        Slope("heartbeats_per_s", rate, "1/s", f"sent by each of {routers} routers"),
        Slope(
            "heartbeat_bytes",
            calm.sent_bytes / calm.messages,
            "bytes",
            f"with a summary of {LOADS} loads and {PLACEMENTS} placements",
        ),
        Slope(
            "heartbeat_reply_bytes",
            calm.reply_bytes / calm.messages,
            "bytes",
            "no summary",
        ),
        Slope(
            "heartbeat_us",
            calm.cpu_s / calm.messages * 1e6,
            "us",
            "send, receive and reply of one, both ends",
        ),
        Slope(
            "death_known_by_all_s",
            clock.now_s - began_s,
            "s",
            f"modelled, {routers} routers, suspect 2 s + dead 4 s + news",
        ),
    ]


@attrs.define
class _Round:
    messages: int = 0
    sent_bytes: int = 0
    reply_bytes: int = 0
    cpu_s: float = 0.0


def _round(fleet, clock: _ModelClock, summary: RouterSummary) -> _Round:
    """Let every router heartbeat its targets once."""
    clock.now_s += INTERVAL_S
    done = _Round()
    began_s = time.process_time()
    for member in fleet.values():
        member.tick()
        for target in member.targets():
            message = CONTROL_CODEC.encode(member.heartbeat(9, summary))
            member.note_heartbeat_sent(target.name)
            done.messages += 1
            done.sent_bytes += len(message)
            peer = fleet.get(target.name)
            if peer is None:
                continue
            peer.receive(CONTROL_CODEC.decode(message))
            reply = CONTROL_CODEC.encode(peer.heartbeat(9, RouterSummary()))
            done.reply_bytes += len(reply)
            member.receive(CONTROL_CODEC.decode(reply))
    done.cpu_s = time.process_time() - began_s
    return done


def _knows_dead(member: Membership, name: str) -> bool:
    return any(m.name == name and m.state == DEAD for m in member.members())


def _summary() -> RouterSummary:
    loads = {f"seer-pool-{n}": {0: 3, 1: 1} for n in range(LOADS)}
    placements = [Placement(2**63 + n, f"seer-pool-{n}") for n in range(PLACEMENTS)]
    return RouterSummary.of(loads, placements)


def measure_configuration() -> list[Slope]:
    """One operator's change on a configuration of the letter's size."""
    logger.disable("kumquatseam")
    configuration = letter_configuration()
    log = InMemoryLogService(LogStore())
    state = read_current(log, configuration)
    change = EntityChange(ALTER, "team", "team-7", (FieldValue("max_running", "5"),))
    end_offset = state.next_offset
    append_command(log, state, Command("slopes", (change,)))
    record = log.read("keyed.kumquatseam.configuration", end_offset).records[0]
    began_s = time.process_time()
    after = _follow(log, state)
    apply_ms = (time.process_time() - began_s) * 1000
    began_s = time.process_time()
    load_newest(log)
    load_ms = (time.process_time() - began_s) * 1000
    logger.enable("kumquatseam")
    assert after.next_offset == end_offset + 1
    size = f"{UPSTREAMS} upstreams, {TEAMS} teams"
    return [
        Slope("change_record_bytes", len(record.payload), "bytes", "one team altered"),
        Slope("change_apply_ms", apply_ms, "ms", f"one change on {size}"),
        Slope("configuration_load_ms", load_ms, "ms", f"newest records of {size}"),
    ]


def _follow(log, state: ConfigurationState) -> ConfigurationState:
    from kumquatseam.fleet._follower import read_state

    return read_state(log, state)


def letter_configuration() -> Configuration:
    """Return a configuration of the letter's size."""
    models = tuple(ModelSettings(f"model-{n}", "v1") for n in range(MODELS))
    upstreams = tuple(
        UpstreamSettings(
            f"seer-pool-{n}",
            f"http://10.1.{n // 250}.{n % 250}:8000",
            f"tcp://10.1.{n // 250}.{n % 250}:8601",
            f"zone-{n % 8}",
            (f"model-{n % MODELS}",),
            8,
        )
        for n in range(UPSTREAMS)
    )
    names = tuple(u.name for u in upstreams[:30])
    teams = tuple(
        TeamSettings(f"team-{n}", (f"key-{n}",), ("p",), ("model-1",), names)
        for n in range(TEAMS)
    )
    return Configuration((PrioritySettings("p", 0),), models, upstreams, teams)


def measure_claims(claims: int = 20_000) -> list[Slope]:
    """Bytes, memory and CPU of one claim."""
    records = [
        CLAIM_CODEC.encode(Claim(f"{n:032x}", f"{n:032x}", f"cmpl-{n}"))
        for n in range(claims)
    ]
    table = ClaimTable()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for record in records:
        table.apply(CLAIM_CODEC.decode(record))
    claim_bytes = (tracemalloc.get_traced_memory()[0] - before) / claims
    tracemalloc.stop()
    began_s = time.process_time()
    for record in records:
        CLAIM_CODEC.decode(record)
    claim_us = (time.process_time() - began_s) / claims * 1e6
    how = f"{claims} claims"
    return [
        Slope("claim_record_bytes", len(records[0]), "bytes", "msgpack"),
        Slope("claim_table_bytes", claim_bytes, "bytes", how),
        Slope("claim_decode_us", claim_us, "us", how),
    ]


def measure_fleets(sizes: tuple[int, ...] = (3, 7, 15)) -> list[Slope]:
    """Control bytes and the time to put a change in force, in real fleets."""
    slopes = []
    for size in sizes:
        slopes += _measure_fleet(size)
    return slopes


def _measure_fleet(routers: int) -> list[Slope]:
    from kumquatseam.logservice import HttpLogService
    from kumquatseam.operators import FleetConsole
    from kumquatseam.settings import load_settings

    folder = Path(tempfile.mkdtemp(prefix="kumquatseam-slopes-"))
    fleet = LocalFleet(FleetPlan(routers=routers, engines=3, with_log=True), folder)
    try:
        fleet.start()
        addresses = {router.name: router.control for router in fleet.routers}
        settings = load_settings(str(fleet.routers[0].settings_path))
        console = FleetConsole(
            addresses, HttpLogService(fleet.log_url), settings.configuration
        )
        time.sleep(4.0)
        before = _control_bytes(fleet)
        cpu_before_s = fleet.routers[0].program.cpu_s()
        began_s = time.monotonic()
        time.sleep(5.0)
        bytes_per_s = (_control_bytes(fleet) - before) / (time.monotonic() - began_s)
        cpu_ms_per_s = (fleet.routers[0].program.cpu_s() - cpu_before_s) * 1000 / 5
        took_s = [
            console.apply(f"alter priority notes set rank = {n}", "s", 10).took_s
            for n in range(2, 12)
        ]
    finally:
        fleet.close()
    how = f"{routers} routers, 3 engines, idle"
    return [
        Slope(f"control_bytes_per_s_{routers}", bytes_per_s, "B/s", f"{how}, a router"),
        Slope(f"control_cpu_ms_per_s_{routers}", cpu_ms_per_s, "ms/s", how),
        Slope(
            f"change_in_force_s_{routers}",
            max(took_s),
            "s",
            f"slowest of {len(took_s)} changes, {routers} routers, seen by polling",
        ),
    ]


def _control_bytes(fleet: LocalFleet) -> int:
    import json

    import urllib3

    url = f"{fleet.routers[0].url}/kumquatseam/status"
    return json.loads(urllib3.request("GET", url).data)["control_bytes"]
