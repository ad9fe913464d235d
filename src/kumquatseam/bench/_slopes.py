"""Measured slopes for docs/CAPACITY.md: cost per event, block, peer, request.

Each slope is measured on this machine with the project's own code and its
stand-ins, by ``kumquatseam slopes``. CPU times are process CPU seconds
(``time.process_time``), memory is what ``tracemalloc`` sees allocated, and
wire sizes are msgpack bytes of the real messages.
"""

import time
import tracemalloc

import attrs
from loguru import logger

from kumquatseam.bench._control_slopes import (
    letter_configuration,
    measure_claims,
    measure_configuration,
    measure_fleets,
    measure_membership,
)
from kumquatseam.bench._slope import Slope
from kumquatseam.engines import (
    CacheEventBatch,
    LoadReport,
    decode_message,
    encode_message,
)
from kumquatseam.routing import PrefixIndex

#: keys per cache-event batch in the measurements.
BATCH_KEYS = 64
#: tokens per answer in the second daemon burst (the first asks 16).
LONG_ANSWER_TOKENS = 64


def measure_index(keys: int = 200_000) -> list[Slope]:
    """CPU and memory of the prefix index per cached block."""
    index = PrefixIndex(entry_ttl_s=30.0)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    cpu_s = 0.0
    for n in range(keys // BATCH_KEYS):
        stored = tuple(2**63 + n * BATCH_KEYS + k for k in range(BATCH_KEYS))
        batch = CacheEventBatch("e", "epoch", n + 1, stored, ())
        started = time.process_time()
        index.apply(batch, 1.0 + n * 1e-6)
        cpu_s += time.process_time() - started
        del stored, batch
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    count = index.size_blocks("e")
    probe = [2**63 + k for k in range(64)]
    started = time.process_time()
    for _ in range(20_000):
        index.match("e", probe, 2.0)
    match_s = time.process_time() - started
    return [
        Slope(
            "index_apply_us_per_key",
            cpu_s / count * 1e6,
            "us",
            f"{count} stored keys in batches of {BATCH_KEYS}",
        ),
        Slope(
            "index_bytes_per_block",
            (after - before) / count,
            "bytes",
            "tracemalloc over the same inserts",
        ),
        Slope(
            "index_match_us_per_block",
            match_s / (20_000 * 64) * 1e6,
            "us",
            "20000 matches of a 64-block prompt",
        ),
    ]


def measure_wire() -> list[Slope]:
    """Bytes and decode CPU of the engine messages."""
    keys = tuple(2**63 + n for n in range(BATCH_KEYS))
    batch = encode_message(
        CacheEventBatch("seer-pool-17", "a1b2c3d4e5f6", 1234, keys, ())
    )
    report = encode_message(LoadReport("seer-pool-17", "a1b2c3d4e5f6", 6, 2, 0.83))
    started = time.process_time()
    for _ in range(20_000):
        decode_message(batch)
    decode_s = time.process_time() - started
    return [
        Slope(
            "event_bytes_per_key",
            len(batch) / BATCH_KEYS,
            "bytes",
            f"msgpack batch of {BATCH_KEYS} 64-bit keys",
        ),
        Slope(
            "event_decode_us_per_key",
            decode_s / (20_000 * BATCH_KEYS) * 1e6,
            "us",
            "msgpack decode into CacheEventBatch",
        ),
        Slope("load_report_bytes", len(report), "bytes", "one msgpack LoadReport"),
    ]


def measure_routing(engine_counts=(3, 9, 27)) -> list[Slope]:
    """CPU of one routing decision against the number of candidates."""
    from kumquatseam.bench._scenarios import HIVATAL
    from kumquatseam.bench._trace import MODEL, bench_settings
    from kumquatseam.engines import tokenize
    from kumquatseam.fleet import LiveConfiguration
    from kumquatseam.routing import Router, RoutingRequest, build_policy

    logger.disable("kumquatseam")
    per_call_us = {}
    tokens = tuple(tokenize(" ".join(f"w{i}" for i in range(688))))
    for count in engine_counts:
        scenario = attrs.evolve(HIVATAL, replicas=count)
        settings = bench_settings(scenario)
        daemon = settings.daemon
        policy = build_policy(
            "prefix_aware",
            daemon.block_size_tokens,
            daemon.prefill_ms_per_token,
            daemon.queue_ms_per_request,
        )
        router = Router(
            LiveConfiguration(settings.configuration),
            daemon,
            policy,
            clock=lambda: 1.0,
        )
        team = settings.configuration.teams[0]
        request = RoutingRequest(
            "r",
            team,
            MODEL.name,
            tokens,
            settings.configuration.priorities[0],
        )
        calls = 2_000
        started = time.process_time()
        for _ in range(calls):
            router.route(request)
        per_call_us[count] = (time.process_time() - started) / calls * 1e6
    logger.enable("kumquatseam")
    low, high = engine_counts[0], engine_counts[-1]
    slope = (per_call_us[high] - per_call_us[low]) / (high - low)
    return [
        Slope(
            "route_us_per_candidate",
            slope,
            "us",
            f"688-token prompt, {low} to {high} candidates",
        ),
        Slope(
            "route_us_fixed",
            per_call_us[low] - slope * low,
            "us",
            "intercept of that line",
        ),
    ]


def measure_daemon(requests: int = 240, seed: int = 11) -> list[Slope]:
    """Memory and CPU per request of a real ``kumquatseamd`` before stand-ins.

    Starts the demo fleet (three stand-in engines and the daemon, separate
    processes on loopback) and sends a seeded burst through real HTTP.
    """
    import tempfile
    from pathlib import Path

    from kumquatseam.bench._demo import demo_fleet, demo_target
    from kumquatseam.bench._workload import NestedPromptWorkload, WorkloadTeam
    from kumquatseam.settings import load_settings

    settings = load_settings(None)
    teams = [
        WorkloadTeam(t.name, t.api_keys[0], t.priority_classes)
        for t in settings.configuration.teams
    ]
    burst = NestedPromptWorkload().requests(teams, requests, seed)
    short_target = demo_target(settings)
    long_target = attrs.evolve(short_target, max_tokens=LONG_ANSWER_TOKENS)
    folder = Path(tempfile.mkdtemp(prefix="kumquatseam-slopes-"))
    engines, daemon = demo_fleet(settings, "prefix_aware", seed, folder)
    started = []
    try:
        for program in [*engines, daemon]:
            program.start()
            started.append(program)
        idle_rss = daemon.rss_bytes()
        cpu_short_s, wall_s = _daemon_cpu_s(daemon, short_target, burst)
        cpu_long_s, _ = _daemon_cpu_s(daemon, long_target, burst)
        busy_rss = daemon.rss_bytes()
    finally:
        for program in reversed(started):
            program.close()
    return [
        Slope("daemon_rss_idle_mb", idle_rss / 2**20, "MB", "kumquatseamd after start"),
        Slope(
            "daemon_rss_busy_mb", busy_rss / 2**20, "MB", f"after {requests} requests"
        ),
        Slope(
            "daemon_cpu_ms_per_request",
            cpu_short_s / requests * 1000,
            "ms",
            f"{requests} streamed requests, 16 tokens each, in {wall_s:.1f} s",
        ),
        Slope(
            "daemon_cpu_us_per_token",
            (cpu_long_s - cpu_short_s) / (requests * (LONG_ANSWER_TOKENS - 16)) * 1e6,
            "us",
            f"same burst at {LONG_ANSWER_TOKENS} tokens, difference per token",
        ),
    ]


def _daemon_cpu_s(daemon, target, burst) -> tuple[float, float]:
    """Drive ``burst`` and return the daemon's CPU seconds and the wall time."""
    from kumquatseam.bench._driver import WorkloadDriver

    cpu_before_s = daemon.cpu_s()
    wall_before_s = time.monotonic()
    WorkloadDriver(target, 12).drive(burst, 0.01)
    return daemon.cpu_s() - cpu_before_s, time.monotonic() - wall_before_s


def measure_records() -> list[Slope]:
    """Memory of a configuration of the letter's size."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    configuration = letter_configuration()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    how = f"{len(configuration.upstreams)} upstreams, {len(configuration.teams)} teams"
    return [Slope("configuration_mb", size / 2**20, "MB", f"tracemalloc of {how}")]


def measure_all() -> list[Slope]:
    """Every slope above."""
    return [
        *measure_index(),
        *measure_wire(),
        *measure_routing(),
        *measure_records(),
        *measure_membership(),
        *measure_configuration(),
        *measure_claims(),
        *measure_fleets(),
        *measure_daemon(),
    ]


def format_slopes(slopes: list[Slope]) -> str:
    """Return the slopes as a table."""
    rows = [f"{'slope':<28}{'value':>12} {'unit':<6} how"]
    rows += [f"{s.name:<28}{s.value:>12.3f} {s.unit:<6} {s.how}" for s in slopes]
    return "\n".join(rows)
