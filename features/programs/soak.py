"""Soak of planned work with real processes, by hand: one line for each seed.

Usage: soak.py FIRST LAST [--gateways N] [--engines N] [--callers N] [--for SECONDS]
[--troubles] [--crowds N] [--keep FOLDER]

``--troubles`` pauses and kills gateways as well; requests of a gateway that was killed
meanwhile are left out. ``--crowds`` sends N series of crowds that don't behave to the
gateways, whose machines have little memory. The logs of gateways are kept in FOLDER for
seeds that failed.
"""

import argparse
import random
import shutil
import sys
import tempfile
import time
from pathlib import Path

from loguru import logger

sys.path.insert(0, str(Path(__file__).parent.parent / "steps"))

from crowd_world import CrowdSeries, UsageWatch  # noqa: E402
from platform_world import KEY, PlatformWorld  # noqa: E402
from whole_answers_world import (  # noqa: E402
    TROUBLES,
    PlannedWork,
    describe,
    draw_answer,
    draw_schedule,
    judge,
    serve_and_work,
    start_world,
)

#: limits of requests, and the machines of gateways, while crowds come.
LIMITS = {
    "maxBodyBytes": 1_000_000,
    "maxHeaderBytes": 16_384,
    "headerTimeoutMs": 5000,
}
MEMORY_MB = 110
MACHINE = f"memory_mb = {MEMORY_MB}\nmax_descriptors = 400"


def start_crowds(world, seed, count) -> list[CrowdSeries]:
    """Send series of crowds to the gateways."""
    ports = [gateway.ports["front"] for gateway in world.gateways]
    series = [
        CrowdSeries(
            ports,
            random.Random(f"{seed}/crowd/{number}"),
            authorization=f"Token {KEY}",
            path="/plain/x",
            body_bytes=LIMITS["maxBodyBytes"],
            head_bytes=LIMITS["maxHeaderBytes"],
        )
        for number in range(count)
    ]
    for one in series:
        one.start()
    return series


def run_seed(seed, options) -> bool:
    """Run one seed; return whether every accepted request was answered whole."""
    folder = Path(tempfile.mkdtemp(prefix="kumquatseam-soak-"))
    world = PlatformWorld(folder)
    world.start()
    draw = random.Random(seed)
    answers = random.Random(seed)
    work = PlannedWork(world, draw)
    work.next_answer = lambda order: draw_answer(answers)
    troubles = TROUBLES if options.troubles else ()
    schedule = draw_schedule(draw, options.for_s, troubles)
    is_whole = False
    machine = ""
    if options.crowds:
        world.limits, machine = LIMITS, MACHINE
    try:
        start_world(
            world, options.gateways, options.engines, work.next_answer, machine=machine
        )
        crowds = start_crowds(world, seed, options.crowds)
        watches = [UsageWatch(lambda g=g: g.process) for g in world.gateways]
        for watch in watches:
            watch.start()
        outcomes = serve_and_work(
            world, options.callers, options.for_s, schedule, work, seed
        )
        verdict = judge(world, outcomes, work.kills)
        for one in crowds:
            one.close()
        most_mb = max(watch.close().memory_mb for watch in watches)
        is_whole = not (
            (options.crowds and most_mb > MEMORY_MB)
            or verdict.cut
            or verdict.run_though_refused
            or verdict.run_twice
            or verdict.at_work_twice
        )
        print(f"seed {seed}: {'held' if is_whole else 'FAILED'}:", end=" ")
        print(describe(world, verdict), end=" ")
        print(f"{sum(s.crowds for s in crowds)} crowds, {most_mb:.0f} MB", flush=True)
    finally:
        world.close()
        if not is_whole and options.keep:
            shutil.copytree(folder, Path(options.keep) / f"seed-{seed}")
        shutil.rmtree(folder, ignore_errors=True)
    return is_whole


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--gateways", type=int, default=5)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--callers", type=int, default=30)
    parser.add_argument("--for", dest="for_s", type=float, default=20.0)
    parser.add_argument("--troubles", action="store_true")
    parser.add_argument("--crowds", type=int, default=0)
    parser.add_argument("--keep", default="")
    options = parser.parse_args()
    logger.remove()
    began_s = time.monotonic()
    seeds = range(options.first, options.last + 1)
    failed = [seed for seed in seeds if not run_seed(seed, options)]
    took_s = time.monotonic() - began_s
    print(f"{len(seeds)} seeds in {took_s:.0f} s, failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
