"""Gateway processes and stand-ins of the platform, each on a loopback port."""

import json
import os
import subprocess
import sys
import time
from pathlib import Path

import urllib3
from platform_replica import StandinReplica

from kumquatseam.bench import free_port, standin_program
from kumquatseam.logservice import HttpLogService
from kumquatseam.peers import INSTANCES_TOPIC

WAIT_S = 10.0
HTTP = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(connect=2, read=15))
KEY = "key-of-alpha"
TEMPLATE = """
[gateway]
name = {name}
zone = kobanya
listen = 127.0.0.1:{front}
health_listen = 127.0.0.1:{ready}
metrics_listen = 127.0.0.1:{metrics}
grace_s = {grace_s}
[peers]
address = 127.0.0.1:{peer}
state_address = 127.0.0.1:{state}
seeds = {seeds}
relay_address = 127.0.0.1:{relay}
is_first_start = true
[log]
address = 127.0.0.1:{log}
[retries]
ratio = 0.2
window_s = 10
slack = {slack}
[rollout]
lease_ms = 1000
"""


def wait_until(what, check, timeout_s=WAIT_S):
    """Wait until ``check`` returns a true value, and return that.

    :param what: the condition, for the error message.
    :raises AssertionError: when it does not hold within the time-out.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        found = check()
        if found:
            return found
        time.sleep(0.02)
    raise AssertionError(f"condition not met within {timeout_s} s: {what}")


class GatewayProcess:
    """A gateway running as a separate process."""

    def __init__(
        self,
        folder: Path,
        name: str,
        log_port: int,
        slack=50,
        seeds="",
        grace_s=4,
        more="",
    ):
        self.name = name
        self.grace_s = grace_s
        self.ports = {
            p: free_port()
            for p in ("front", "ready", "metrics", "peer", "state", "relay")
        }
        self.settings = folder / f"{name}.ini"
        self.log_path = folder / f"{name}.log"
        self.settings.write_text(
            TEMPLATE.format(
                name=name,
                log=log_port,
                slack=slack,
                seeds=seeds,
                grace_s=grace_s,
                **self.ports,
            ).replace("[peers]", f"{more}\n[peers]", 1)
        )
        self.process = None
        #: what the interpreter runs.
        self.program = ["-m", "kumquatseam.platform"]

    def start(self, stdout=None):
        environment = {**os.environ, "KUMQUATSEAM_SETTINGS": str(self.settings)}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.program],
                env=environment,
                stdout=stdout or log,
                stderr=log,
            )

    def is_ready(self) -> bool:
        try:
            url = f"http://127.0.0.1:{self.ports['ready']}/ready"
            return HTTP.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def close(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def lines(self) -> list[dict]:
        """Return the parsed JSON lines of its log, but for one that it still writes."""
        found = []
        for line in self.log_path.read_text().splitlines(keepends=True):
            if line.startswith("{") and line.endswith("\n"):
                found.append(json.loads(line))
        return found


class PlatformWorld:
    """The log service, replicas and gateways of one scenario."""

    def __init__(self, folder: Path):
        self.folder = folder
        self.log_port = free_port()
        self.store_program = standin_program("log", self.log_port)
        self.store = HttpLogService(f"http://127.0.0.1:{self.log_port}")
        self.replicas: dict[str, StandinReplica] = {}
        self.services: dict[str, str] = {}
        self.gateways: list[GatewayProcess] = []
        self.routes: list[dict] = []
        self.keys = [KEY]
        #: quota fields of the team's entry in the configuration.
        self.quota: dict = {}
        self.idle_timeout_ms = 15000
        #: limits of callers' requests that differ.
        self.limits: dict = {}
        self.version = 0
        #: callbacks run before anything else is closed.
        self.on_close = []

    def start(self):
        self.store_program.start()

    def close(self):
        for callback in self.on_close:
            callback()
        for gateway in self.gateways:
            gateway.close()
        for replica in self.replicas.values():
            replica.close()
        self.store.close()
        self.store_program.close()

    # Records that operators and replicas write to the log service.

    def add_replica(
        self, service, upstream_id, is_listed=True, **options
    ) -> StandinReplica:
        replica = StandinReplica(upstream_id, **options)
        replica.find = self._find_replica
        replica.start()
        self.replicas[upstream_id] = replica
        self.services[upstream_id] = service
        if is_listed:
            self.list_replica(upstream_id)
        return replica

    def _find_replica(self, address):
        for replica in self.replicas.values():
            if replica.listed_address == address:
                return replica
        return None

    def list_replica(self, upstream_id, **more):
        replica = self.replicas[upstream_id]
        replica.listed_address = more.get("address", replica.address)
        value = replica.entry(self.services[upstream_id], **more)
        self.store.append_keyed("keyed.servers", upstream_id, value)

    def unlist_replica(self, upstream_id):
        self.store.append_keyed("keyed.servers", upstream_id, b"")

    def add_route(self, prefix, kind, service, **more):
        route = {
            "name": f"r{prefix.replace('/', '-')}",
            "host": "a.example",
            "pathPrefix": prefix,
            "kind": kind,
            "timeoutMs": 3000,
            "targetLatencyMs": 600,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
            "public": False,
            "resumable": False,
            "gapAimMs": 300,
        }
        self.routes.append({**route, **more})

    def put_configuration(self, version=None):
        self.version = self.version + 3 if version is None else version
        engine = {
            "slots": 48,
            "kvCapacityTokens": 100000,
            "models": [{"name": "m0"}],
            "maxConcurrent": 12,
        }
        value = {
            "version": self.version,
            "routes": self.routes,
            "services": [
                {"name": "engines", "healthPath": "/healthz", "engine": engine},
                {"name": "plain", "healthPath": "/healthz"},
                {"name": "other", "healthPath": "/healthz"},
            ],
            "limits": {
                "maxHeaderBytes": 4096,
                "maxBodyBytes": 20000,
                "headerTimeoutMs": 800,
                "idleTimeoutMs": self.idle_timeout_ms,
                **self.limits,
            },
            "tenants": [
                {
                    "name": "alpha",
                    "apiKeys": self.keys,
                    "isolated": False,
                    **self.quota,
                }
            ],
        }
        self.put_operator_record("config", json.dumps(value).encode())

    def put_operator_record(self, key, value: bytes):
        self.store.append_keyed("keyed.op", key, value)

    def name_weights(self, version):
        value = json.dumps({"model": "m0", "version": version}).encode()
        self.put_operator_record("version/m0", value)

    def set_store_faults(self, **faults):
        url = f"http://127.0.0.1:{self.log_port}/standin/faults"
        HTTP.request("PUT", url, body=json.dumps(faults).encode())

    def change_store(self, action):
        """Post an action to the log service: ``copy``, or ``return`` to restore it."""
        HTTP.request("PUT", f"http://127.0.0.1:{self.log_port}/standin/{action}")

    # Gateways and callers.

    def add_gateway(self, wait=True, **options) -> GatewayProcess:
        name = f"gateway-{len(self.gateways)}"
        log_port = options.pop("log_port", self.log_port)
        gateway = GatewayProcess(self.folder, name, log_port, **options)
        gateway.start()
        self.gateways.append(gateway)
        if wait:
            try:
                wait_until("the gateway is ready", gateway.is_ready)
                wait_until(
                    "the gateway lists all replicas",
                    lambda: self.knows_replicas(gateway),
                )
                wait_until(
                    "the gateway knows the instances",
                    lambda: self.knows_instances(gateway),
                )
            except AssertionError as error:
                tail = gateway.log_path.read_text()[-3000:]
                raise AssertionError(f"{error}; end of its log:\n{tail}") from error
        return gateway

    def knows_replicas(self, gateway) -> bool:
        """Whether the gateway has logged every replica as listed."""
        listed = {
            d["upstream"].partition("@")[0]
            for d in gateway.lines()
            if d["event"].endswith("listed.")
        }
        return set(self.replicas) <= listed

    def all_know_each_other(self) -> bool:
        """Whether each gateway hears from all others."""
        count = len(self.gateways)
        alive = [self.metric(gateway, "peers_alive") for gateway in self.gateways]
        return alive == [count] * count

    def metric(self, gateway, name) -> float:
        """Return the value of a metric without labels."""
        port = gateway.ports["metrics"]
        text = HTTP.request("GET", f"http://127.0.0.1:{port}/metrics").data.decode()
        for line in text.splitlines():
            if line.startswith(f"kumquatseam_{name} "):
                return float(line.split()[1])
        raise AssertionError(f"no metric {name}")

    def knows_instances(self, gateway) -> bool:
        """Whether the gateway has logged that it read the list of instances."""
        return any(
            d["event"] == "Topic known for the first time."
            and d["topic"] == INSTANCES_TOPIC
            for d in gateway.lines()
        )

    def send(self, path="/plain/x", method="POST", gateway=0, key=KEY, **options):
        """Send a caller's request and return the urllib3 response."""
        headers = {
            "Host": "a.example",
            "X-Request-Id": options.pop("request_id", f"id-{time.monotonic_ns():x}"),
            "X-Deadline-Ms": "5000",
            **options.pop("headers", {}),
        }
        if key:
            headers["Authorization"] = f"Token {key}"
        port = self.gateways[gateway].ports["front"]
        return HTTP.request(
            method,
            f"http://127.0.0.1:{port}{path}",
            headers=headers,
            body=options.pop("body", b"question" if method == "POST" else None),
            redirect=False,
            **options,
        )

    def stream_headers(self, part="5c1e07a2") -> dict:
        """Return the headers of a model request whose prompt starts with ``part``."""
        return {
            "X-Model": "m0",
            "X-Token-Usage": "1460,80",
            "X-Prompt-Prefix": f"{part}:800,{part}b:410,e4402b7d:250",
        }

    def runs(self) -> int:
        """Return how many requests the replicas ran in all."""
        return sum(s.ran for r in self.replicas.values() for s in r.seen)
