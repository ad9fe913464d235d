"""All gateways are killed at the same moment, and callers take their streams up again."""

import re
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import has_trouble, play, wait_until
from replica import Answer, Client, Replica, configuration, engine_service, route
from store import Store

GATEWAYS = 7
REPLICAS = 4
WARM_UP_S = 4.0
#: the processes are started again after this long; herd_kill on the site: 2 s.
DOWN_S = 2.0
#: when callers come back, after the gateways are ready: they are in touch then.
STABLE_S = 3.0
STREAMS = 28
#: the rule counts from 12 on.
MIN_TAKEN_UP = 12
_ID = re.compile(rb"id: (\d+)\n")


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
            events=120,
            event_pause_s=0.05,
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
            timeoutMs=15000,
            targetLatencyMs=800,
        )
    ]
    services = [engine_service("seer-pool")]
    store.put("keyed.op", "config", configuration(3, routes, services))
    store.put("keyed.op", "version/m0", b'{"model":"m0","version":1}')
    gateways = case.add_gateways(GATEWAYS, store.address)
    time.sleep(WARM_UP_S)
    streams = [Stream(gateways[n % GATEWAYS], n, record) for n in range(STREAMS)]
    run_all(stream.begin for stream in streams)
    time.sleep(1.5)
    if has_trouble():
        restart_all(gateways, record)
    else:
        # The callers break their connections off themselves.
        for stream in streams:
            stream.leave()
        time.sleep(DOWN_S)
    time.sleep(STABLE_S)
    broken = [s for s in streams if s.answer is not None and not s.answer.is_whole]
    new = [Stream(gateways[n % GATEWAYS], 1000 + n, record) for n in range(STREAMS)]
    threads = run_all(
        lambda stream=stream: stream.take_up(gateways[(stream.number + 3) % GATEWAYS])
        for stream in broken
    )
    threads += run_all(stream.begin for stream in new)
    for thread in threads:
        thread.join()
    went_on = sum(stream.has_gone_on for stream in broken)
    began = sum(stream.answer.status == 200 for stream in new)
    text = (
        f"taken up: {len(broken)}, went on: {went_on}; new: {len(new)}, began: {began}"
    )
    record(text)
    print(text)
    if len(broken) < MIN_TAKEN_UP:
        return True
    return went_on / len(broken) >= began / len(new) / 2


def restart_all(gateways, record):
    """Kill all gateways at the same moment, and start them again a little later."""
    for gateway in gateways:
        gateway.process.kill()
    for gateway in gateways:
        gateway.process.wait()
    record("all gateways are killed")
    time.sleep(DOWN_S)
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        wait_until(f"{gateway.name} is ready", gateway.is_ready)
    record("all gateways are ready again")


def run_all(calls):
    threads = [threading.Thread(target=call) for call in calls]
    for thread in threads:
        thread.start()
    return threads


class Stream:
    """One stream of a caller, which takes it up once."""

    def __init__(self, gateway, number, record):
        self.gateway, self.number, self.record = gateway, number, record
        self.answer = None
        self._client = None
        self.has_gone_on = False

    def begin(self):
        self._client = Client(self.gateway, timeout_s=14.0)
        self.answer = self._send(self._client, f"first-{self.number}")

    def leave(self):
        """Break the connection off."""
        self._client.shut_down()

    def take_up(self, gateway):
        """Take it up after the last event that arrived."""
        ids = _ID.findall(self.answer.body)
        more = {"Resumes": f"first-{self.number}"}
        if ids:
            more["Last_Event_Id"] = ids[-1].decode()
        client = Client(gateway, timeout_s=14.0)
        answer = self._send(client, f"again-{self.number}", **more)
        self.has_gone_on = answer.status == 200 and bool(_ID.search(answer.body))

    def _send(self, client, request_id, **more):
        if not client.try_connect():
            return Answer(0, {}, b"", False, "not connected")
        self.record(f"client: {request_id} sent to {client.name} {more}")
        answer = client.send(
            request_id,
            path="/s/x",
            body=f"stream {self.number}".encode(),
            X_Model="m0",
            X_Token_Usage="826,120",
            X_Prompt_Prefix=f"5c1e07a2:198,{self.number:08x}:628",
            X_Deadline_Ms="15000",
            **more,
        )
        client.close()
        self.record(f"client: {request_id}: {answer}")
        return answer


play(__file__, main)
