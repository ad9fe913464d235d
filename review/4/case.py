"""A plain replica in trouble ends a chunked body with fields that do not end."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import MemoryLimit, has_trouble, play
from replica import Client, Replica, configuration, encode_head, plain_service, route
from store import Store

GATEWAYS = 3
REPLICAS = 4
WARM_UP_S = 4.0
#: how long the replica is in trouble; srv_grey lasts 6.5 s on the site.
TROUBLE_S = 6.0
AFTER_S = 3.0
#: bytes a second of a link of 1,000 Mbit/s, as the machines of the site have.
LINK_BYTES_PER_S = 125_000_000
PIECE = b"X-Note: abc\r\n" * 4096
CLIENTS = 8
#: the rule allows three.
MAX_LOST = 3


def main(case):
    record = case.record
    store = Store()
    store.start()
    replicas = [
        Replica(f"p{n}", "fault-desk", store, record, work_s=0.25)
        for n in range(REPLICAS)
    ]
    for replica in replicas:
        replica.start()
    routes = [route("ticket-lodge", "/t/", "non_idempotent", "fault-desk")]
    services = [plain_service("fault-desk")]
    store.put("keyed.op", "config", configuration(3, routes, services))
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
        record("p0: in trouble: the bodies of its answers do not end")
        replicas[0].trouble = lambda connection, request: send_without_end(
            replicas[0], connection, request, until_s
        )
    time.sleep(TROUBLE_S)
    record("p0: sound again")
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
    sound = {request_id for r in replicas[1:] for _, request_id in r.ran}
    broken = [request_id for request_id in lost if request_id in sound]
    print(f"passed on to sound replicas and closed unanswered: {len(broken)}")
    record(f"passed on and closed unanswered: {len(broken)}: {' '.join(broken)}")
    return len(broken) <= MAX_LOST


def send_without_end(replica, connection, request, until_s):
    """Send a body without an end until the caller closes; return whether it did."""
    if not request["x-request-id"] or time.monotonic() >= until_s:
        return False
    record = replica.record
    record(f"{replica.name}: {request['x-request-id']}: bytes without end begin")
    sent, began_s = 0, time.monotonic()
    fields = {**replica.head(request), "Transfer-Encoding": "chunked"}
    try:
        connection.sendall(encode_head(200, fields) + b"4\r\ndone\r\n0\r\n")
        while True:
            connection.sendall(PIECE)
            sent += len(PIECE)
            ahead_s = sent / LINK_BYTES_PER_S - (time.monotonic() - began_s)
            if ahead_s > 0:
                time.sleep(ahead_s)
    except OSError:
        record(f"{replica.name}: the caller closed after {sent / 1e6:.0f} MB")
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
