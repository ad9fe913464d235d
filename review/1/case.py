"""A model replica in trouble answers a call about its cache with bytes without end."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import MemoryLimit, has_trouble, play
from replica import (
    Client,
    Replica,
    configuration,
    encode_head,
    engine_service,
    plain_service,
    route,
)
from store import Store

GATEWAYS = 3
WARM_UP_S = 4.0
#: how long the replica is in trouble; srv_grey and garble last as long on the site.
TROUBLE_S = 6.0
AFTER_S = 3.0
#: bytes a second of a link of 1,000 Mbit/s, as the machines of the site have.
LINK_BYTES_PER_S = 125_000_000
PIECE = b"abcdefgh" * 8192
CLIENTS = 8
#: the rule allows three.
MAX_LOST = 3


def main(case):
    record = case.record
    store = Store()
    store.start()
    engines = [
        Replica(f"e{n}", "seer-pool", store, record, is_model=True) for n in range(4)
    ]
    plain = [
        Replica(f"p{n}", "fault-desk", store, record, work_s=0.25) for n in range(6)
    ]
    for replica in engines + plain:
        replica.start()
    routes = [
        route("ticket-lodge", "/t/", "non_idempotent", "fault-desk", maxAttempts=1),
        route("triage-code", "/s/", "stream", "seer-pool", resumable=True),
    ]
    services = [engine_service("seer-pool"), plain_service("fault-desk")]
    store.put("keyed.op", "config", configuration(3, routes, services))
    store.put("keyed.op", "version/m0", b'{"model":"m0","version":1}')
    gateways = case.add_gateways(GATEWAYS, store.address)
    limit = MemoryLimit(gateways, record)
    limit.start()
    is_over = threading.Event()
    lost = []
    threads = [
        threading.Thread(target=call, args=(gateway, n, record, lost, is_over))
        for gateway in gateways
        for n in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(WARM_UP_S)
    until_s = time.monotonic() + TROUBLE_S
    if has_trouble():
        record("e0: in trouble: its answers have bodies without end")
        engines[0].trouble = lambda connection, request: send_without_end(
            connection, request, until_s, record
        )
    time.sleep(TROUBLE_S)
    record("e0: sound again")
    time.sleep(AFTER_S)
    is_over.set()
    for thread in threads:
        thread.join()
    limit.is_over = True
    limit.join()
    for gateway in gateways:
        text = f"{gateway.name}: killed {gateway.memory_kills} times for its memory"
        record(f"{text}, at most {gateway.peak_mb:.0f} MB")
        print(text, f"at most {gateway.peak_mb:.0f} MB")
    ran = {request_id for replica in plain for _, request_id in replica.ran}
    broken = [request_id for request_id in lost if request_id in ran]
    print(f"passed on to sound replicas and closed unanswered: {len(broken)}")
    record(f"passed on and closed unanswered: {len(broken)}: {' '.join(broken)}")
    return len(broken) <= MAX_LOST


def send_without_end(connection, request, until_s, record):
    """Send a body without an end until the caller closes; return whether it did."""
    if time.monotonic() >= until_s:
        return False
    record(f"e0: {request.method} {request.path}: bytes without end begin")
    sent, began_s = 0, time.monotonic()
    try:
        connection.sendall(encode_head(200, {"Content-Type": "application/json"}))
        while True:
            connection.sendall(PIECE)
            sent += len(PIECE)
            ahead_s = sent / LINK_BYTES_PER_S - (time.monotonic() - began_s)
            if ahead_s > 0:
                time.sleep(ahead_s)
    except OSError:
        record(f"e0: {request.path}: the caller closed after {sent / 1e6:.0f} MB")
        raise


def call(gateway, number, record, lost, is_over):
    """Send plain requests on a kept connection; note those that get no answer."""
    client, count = Client(gateway), 0
    while not is_over.is_set():
        count += 1
        request_id = f"{gateway.name}-{number}-{count}"
        if not client.is_connected and not client.try_connect():
            time.sleep(0.2)
            continue
        record(f"client: {request_id} sent to {gateway.name}")
        answer = client.send(request_id, body=request_id.encode())
        record(f"client: {request_id}: {answer}")
        if not answer.status:
            lost.append(request_id)
        time.sleep(0.02)


play(__file__, main)
