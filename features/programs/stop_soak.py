"""Soak of stops with real processes, by hand: one line for each seed, and its cuts.

Usage: stop_soak.py FIRST LAST [--gateways N] [--engines N] [--callers N]
[--for SECONDS] [--grace SECONDS] [--keep FOLDER] [--keep-all]

The logs of gateways, and what became of each request, are kept in FOLDER for seeds that
failed; for all seeds with ``--keep-all``.
"""

import argparse
import json
import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

import attrs
from loguru import logger

sys.path.insert(0, str(Path(__file__).parent.parent / "steps"))

from platform_world import PlatformWorld  # noqa: E402
from stop_verdict import describe, judge, wait_for_queues  # noqa: E402
from stop_world import (  # noqa: E402
    StopWork,
    StopWorld,
    draw_callers,
    draw_schedule,
    serve_and_stop,
    start_world,
)
from switch_interval import lengthen_switch_interval  # noqa: E402
from whole_answers_world import draw_answer  # noqa: E402


def run_seed(seed, options) -> bool:
    """Run one seed; return whether no rule was broken."""
    folder = Path(tempfile.mkdtemp(prefix="kumquatseam-stop-soak-"))
    platform = PlatformWorld(folder)
    platform.start()
    draw = random.Random(seed)
    answers = random.Random(seed)
    world = StopWorld(platform, seed, options.grace_s)
    work = StopWork(world, draw)
    work.next_answer = lambda order: draw_answer(answers)
    schedule = draw_schedule(draw, options.for_s, options.grace_s)
    is_held = False
    try:
        start_world(world, options.gateways, options.engines, work.next_answer)
        idle_stops_s = serve_and_stop(
            world, options.callers or draw_callers(draw), options.for_s, schedule, work
        )
        wait_for_queues(world)
        verdict = judge(world, idle_stops_s)
        is_held = verdict.is_held
        print(f"seed {seed}: {'held' if is_held else 'FAILED'}:", end=" ")
        print(describe(world, verdict), flush=True)
        write_record(folder / "record.jsonl", world, verdict, schedule)
    finally:
        platform.close()
        if options.keep and (options.keep_all or not is_held):
            target = Path(options.keep) / f"seed-{seed}"
            shutil.copytree(folder, target, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    return is_held


def write_record(path, world, verdict, schedule):
    """Write the planned work, the stops, the requests and what was cut."""
    offset_s = time.time() - time.monotonic()
    lines = [{"schedule": schedule, "offset_s": offset_s}]
    lines += [{"stop": attrs.asdict(stop)} for stop in world.stops]
    for name in ("faults", "elsewhere", "excused"):
        lines += [
            {
                "cut": name,
                "excuse": cut.excuse,
                "kind": cut.kind,
                "stop": world.stops.index(cut.stop) if cut.stop else None,
                "after_s": cut.stop
                and {
                    field: round(getattr(cut.request, field) - cut.stop.sigterm_s, 3)
                    for field in ("sent_s", "last_byte_s", "head_s", "ended_s")
                },
                "request": attrs.asdict(cut.request),
            }
            for cut in getattr(verdict, name)
        ]
    lines += [{"request": attrs.asdict(request)} for request in world.requests]
    for name, replica in world.platform.replicas.items():
        for seen in list(replica.seen):
            fields = attrs.asdict(seen)
            del fields["body"]
            lines.append({"replica": name, "seen": fields})
    with path.open("w") as file:
        for line in lines:
            file.write(json.dumps(line, default=str) + "\n")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--callers", type=int, default=0, help="0: drawn by seed")
    parser.add_argument("--for", dest="for_s", type=float, default=40.0)
    parser.add_argument("--grace", dest="grace_s", type=float, default=8.0)
    parser.add_argument("--keep", default="")
    parser.add_argument("--keep-all", action="store_true")
    options = parser.parse_args()
    lengthen_switch_interval()
    logger.remove()
    # Gateways are closed at the end of a seed, also if that is asked for.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    began_s = time.monotonic()
    seeds = range(options.first, options.last + 1)
    failed = [seed for seed in seeds if not run_seed(seed, options)]
    took_s = time.monotonic() - began_s
    print(f"{len(seeds)} seeds in {took_s:.0f} s, failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
