"""The store comes back from a copy in which a draining replica was still ready."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import has_trouble, play
from replica import Client, Replica, configuration, plain_service, route
from store import Store

GATEWAYS = 5
REPLICAS = 4
WARM_UP_S = 4.0
DRAIN_S = 2.0
#: how old the copy is when the store comes back from it, and how long it is away.
COPY_AGE_S = 3.5
AWAY_S = 0.3
#: from the store's acknowledgement of the draining to the drill.
DRILL_AFTER_S = 3.0
#: from the same to the end of the replica: drainMs and a little longer.
END_AFTER_S = 6.0
#: requests a second, as the two kinds of plain requests of the site have together.
REQUESTS_PER_S = 21
CLIENTS = 20


def main(case):
    record = case.record
    store = Store()
    store.start()
    replicas = [
        Replica(f"p{n}", "fault-desk", store, record, work_s=0.09)
        for n in range(REPLICAS)
    ]
    for replica in replicas:
        replica.start()
    routes = [route("ticket-lodge", "/t/", "non_idempotent", "fault-desk")]
    services = [plain_service("fault-desk")]
    store.put("keyed.op", "config", configuration(3, routes, services))
    gateways = case.add_gateways(GATEWAYS, store.address)
    is_over = threading.Event()
    failed = []
    threads = [
        threading.Thread(
            target=call,
            args=(gateways[n % GATEWAYS], n, record, failed, is_over),
        )
        for n in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(WARM_UP_S)
    leaving = replicas[0]
    store.take_copy()
    record("store: copied")
    time.sleep(COPY_AGE_S - DRILL_AFTER_S)
    leaving.state = "draining"
    leaving.register()
    drained_s = time.monotonic()
    record("p0: draining, acknowledged by the store")
    time.sleep(DRILL_AFTER_S - AWAY_S)
    if has_trouble():
        store.is_away = True
        record("store: away")
        time.sleep(AWAY_S)
        store.restore_copy()
        record("store: back from the copy")
    else:
        time.sleep(AWAY_S)
    time.sleep(max(0.0, drained_s + END_AFTER_S - time.monotonic()))
    leaving.end()
    record("p0: ended")
    time.sleep(1.0)
    is_over.set()
    for thread in threads:
        thread.join()
    late = [
        (round(at_s - drained_s, 3), request_id)
        for at_s, request_id in leaving.ran
        if at_s > drained_s + DRAIN_S
    ]
    for at_s, request_id in late:
        record(f"p0 got {request_id} {at_s} s after the acknowledgement")
    print(
        f"requests to p0 over {DRAIN_S} s after its draining: {len(late)}; {late[:5]}"
    )
    print(f"requests failed: {len(failed)}")
    return not late


def call(gateway, number, record, failed, is_over):
    client, count = Client(gateway), 0
    time.sleep(number / REQUESTS_PER_S)
    while not is_over.is_set():
        count += 1
        began_s = time.monotonic()
        request_id = f"{gateway.name}-{number}-{count}"
        if client.is_connected or client.try_connect():
            answer = client.send(request_id)
            record(f"client: {request_id}: {answer}")
            if answer.status != 200:
                failed.append(request_id)
        left_s = began_s + CLIENTS / REQUESTS_PER_S - time.monotonic()
        time.sleep(max(0.0, left_s))


play(__file__, main)
