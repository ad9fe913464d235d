"""A stream whose first replica failed it is silent in the middle at its second one."""

import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import has_trouble, play
from replica import Client, Replica, configuration, engine_service, route, send
from store import Store

GATEWAYS = 2
REPLICAS = 9
WARM_UP_S = 4.0
#: of a grey replica, as on the site: it fails this share of its requests.
GREY_SHARE = 0.45
#: replicas that are dark at a time, of nine: the site has a quarter.
DARK = 2
DARK_S = 2.5
LIGHT_S = 2.0
ROUNDS = 8
REQUESTS_PER_S = 25
CLIENTS = 40


def main(case):
    record = case.record
    store = Store()
    store.start()
    replicas = [
        Replica(
            f"e{n}",
            "seer-pool",
            store,
            record,
            is_model=True,
            events=52,
            event_pause_s=0.02,
        )
        for n in range(REPLICAS)
    ]
    for replica in replicas:
        replica.start()
    routes = [
        route(
            "triage-code",
            "/s/",
            "stream",
            "seer-pool",
            resumable=True,
            timeoutMs=5000,
            targetLatencyMs=600,
        )
    ]
    services = [engine_service("seer-pool")]
    store.put("keyed.op", "config", configuration(3, routes, services))
    store.put("keyed.op", "version/m0", b'{"model":"m0","version":1}')
    gateways = case.add_gateways(GATEWAYS, store.address)
    is_over = threading.Event()
    answers = []
    threads = [
        threading.Thread(
            target=call, args=(gateways[n % GATEWAYS], n, record, answers, is_over)
        )
        for n in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(WARM_UP_S)
    if has_trouble():
        replicas[0].trouble = lambda connection, request: fail_some(
            replicas[0], connection, request
        )
        record("e0: fails some of its requests, health good")
    for number in range(ROUNDS):
        dark = [replicas[1 + (DARK * number + n) % (REPLICAS - 1)] for n in range(DARK)]
        if has_trouble():
            for replica in dark:
                replica.is_lit.clear()
                record(f"{replica.name}: dark")
        time.sleep(DARK_S)
        for replica in dark:
            replica.is_lit.set()
        time.sleep(LIGHT_S)
    is_over.set()
    for thread in threads:
        thread.join()
    invalid = [(i, answer.error) for i, answer in answers if not answer.is_valid]
    for request_id, error in invalid:
        record(f"client: {request_id} got bytes that are no answer, {error}")
    whole = sum(answer.is_whole for _, answer in answers)
    print(f"streams: {len(answers)}, whole: {whole}, with other bytes: {len(invalid)}")
    for request_id, error in invalid[:3]:
        print(request_id, error)
    return not invalid


def fail_some(replica, connection, request):
    """Answer some of the requests with a failure that is the replica's own."""
    if not request["x-request-id"] or random.random() >= GREY_SHARE:
        return False
    replica.record(f"{replica.name}: {request['x-request-id']} fails: 500")
    send(connection, 500, replica.head(request), b"failed")
    return True


def call(gateway, number, record, answers, is_over):
    client, count = Client(gateway, timeout_s=7.0), 0
    time.sleep(number / REQUESTS_PER_S)
    while not is_over.is_set():
        count += 1
        request_id = f"{gateway.name}-{number}-{count}"
        if client.is_connected or client.try_connect():
            answer = client.send(
                request_id,
                path="/s/x",
                body=request_id.encode(),
                X_Model="m0",
                X_Token_Usage="826,52",
                X_Prompt_Prefix=f"5c1e07a2:198,{number:04x}{count:04x}:628",
                X_Deadline_Ms="5000",
            )
            record(f"client: {request_id}: {answer}")
            answers.append((request_id, answer))
        time.sleep(0.05)


play(__file__, main)
