"""Test environment of the fault matrix: fakes and modelled time.

Router, serving, claims, leases and configuration are the daemon's own code;
only engines, services and the log's transport are fakes.
"""

import attrs
from modelled_clock import Clock
from quarantine_world import single_instance_quarantine
from quota_world import single_instance_limits

from kumquatseam.admission.retry_budget import RetryBudget
from kumquatseam.admission.team_limiter import TeamLimiter
from kumquatseam.engines import (
    CacheEventBatch,
    EngineChunk,
    EngineClient,
    EngineOrderClient,
    LoadReport,
    ModelVersion,
    OrderRefusedError,
    cache_salt,
)
from kumquatseam.fleet import LiveConfiguration
from kumquatseam.idempotency import ClaimLedger
from kumquatseam.request_errors import EngineMismatchError, UpstreamError
from kumquatseam.routing import Router, build_policy
from kumquatseam.services import ServiceClient, ServiceResponse
from kumquatseam.serving import (
    CompletionServer,
    RunningRequests,
    ServiceServer,
    ServingParts,
)
from kumquatseam.settings import AdmissionSettings, parse_settings
from kumquatseam.standins.logservice import InMemoryLogService, LogFaults, LogStore

MODEL = "m"
ENGINES = ("e0", "e1", "e2")
REPLICAS = ("http://s0", "http://s1", "http://s2")
ANSWER_TOKENS = 6
PROMPT = " ".join(f"t{i}" for i in range(40))
SETTINGS = "\n".join(
    [
        "[daemon]\nlisten = 127.0.0.1:1\nzone = z\npolicy = prefix_aware",
        "block_size_tokens = 16\nengine_dead_after_s = 3\nindex_entry_ttl_s = 30",
        "prefill_ms_per_token = 0.2\nqueue_ms_per_request = 60",
        "connect_timeout_s = 1\nread_timeout_s = 1\ndrain_timeout_s = 1",
        "[priority:p]\nrank = 0",
        f"[model:{MODEL}]\nversion = v1",
        f"[service:s]\nzone = z\nurls = {', '.join(REPLICAS)}",
        *(
            f"[upstream:{e}]\nurl = http://{e}\nevents = inproc://{e}\nzone = z\n"
            f"models = {MODEL}\nslots = 4"
            for e in ENGINES
        ),
        f"[team:a]\napi_keys = ka\npriority_classes = p\nmodels = {MODEL}\n"
        f"upstreams = {', '.join(ENGINES)}\nservices = s",
        f"[team:b]\napi_keys = kb\npriority_classes = p\nmodels = {MODEL}\n"
        f"upstreams = {', '.join(ENGINES)}",
    ]
)


class RouterKilled(Exception):
    """The router's process is killed; its caller's connection breaks."""


@attrs.define
class FaultTrigger:
    """Injects a fault when a request or order reaches a given step.

    :param step: the step.
    :param inject_fault: called with the world, the upstream's name and the step.
    :param remaining: how many more times to inject it.
    """

    step: str = ""
    inject_fault: object = None
    remaining: int = 0

    def reach_step(self, step: str, world, name: str) -> None:
        if step == self.step and self.remaining > 0:
            self.remaining -= 1
            self.inject_fault(world, name, step)


@attrs.define
class FakeEngine:
    """An engine's epoch, weights version, cache and started requests."""

    name: str
    epoch: int = 0
    version: str = "v1"
    down: bool = False
    checks_fences: bool = True
    highest_fence: int = -1
    cache: dict = attrs.Factory(dict)
    runs: list = attrs.Factory(list)
    stale_hits: list = attrs.Factory(list)

    def crash(self) -> None:
        self.epoch += 1
        self.cache.clear()
        self.highest_fence = -1

    def run(self, request) -> None:
        """Start a request; record a cache hit on blocks of other weights."""
        self.runs.append(request.request_id)
        cached_version = self.cache.setdefault(request.cache_salt, self.version)
        if cached_version != self.version:
            self.stale_hits.append((request.request_id, cached_version, self.version))


class FakeEngineClient(EngineClient, EngineOrderClient):
    """Sends requests and orders to the fake engines."""

    def __init__(self, world):
        self._world = world

    def close(self):
        pass

    def stream(self, target, request):
        world, engine = self._world, self._world.engines[target.name]
        world.sent_to.append(target.name)
        world.trigger.reach_step("connect", world, target.name)
        if engine.down:
            raise UpstreamError(target.name, False, "refused")
        is_wrong_epoch = request.expected_epoch not in (None, str(engine.epoch))
        if is_wrong_epoch or request.expected_version not in (None, engine.version):
            raise EngineMismatchError(target.name, str(engine.epoch), engine.version)
        engine.run(request)
        world.trigger.reach_step("first_token", world, target.name)
        for index in range(request.resume_after_tokens, request.max_tokens):
            if index == request.max_tokens // 2:
                world.trigger.reach_step("middle", world, target.name)
            last = index == request.max_tokens - 1
            yield EngineChunk(f"w{index}", "length" if last else None)
        world.trigger.reach_step("end", world, target.name)
        yield EngineChunk("", None, 40, 0, request.max_tokens)

    def send(self, target, order) -> None:
        engine = self._world.engines[target.name]
        self._world.trigger.reach_step("order", self._world, target.name)
        if engine.checks_fences and order.fence < engine.highest_fence:
            raise OrderRefusedError(target.name, 412)
        engine.highest_fence = max(order.fence, engine.highest_fence)
        engine.version = order.version


class FakeServiceClient(ServiceClient):
    """Sends calls to the fake replicas of a service."""

    def __init__(self, world):
        self._world = world

    def call(self, url, call):
        world = self._world
        world.trigger.reach_step("connect", world, url)
        world.service_runs.append(call.request_id)
        world.trigger.reach_step("first_token", world, url)
        return ServiceResponse(200, b"done", None)


class World:
    """Fake engines, a log and the router that uses them."""

    def __init__(self):
        self.clock = Clock()
        self.trigger = FaultTrigger()
        self.settings = parse_settings(SETTINGS, "matrix")
        self.engines = {name: FakeEngine(name) for name in ENGINES}
        for engine in self.engines.values():
            engine.cache[cache_salt("a", MODEL, engine.version)] = engine.version
        self.leaving: set[str] = set()
        self.service_runs: list[str] = []
        self.sent_to: list[str] = []
        self.store = LogStore(clock=self.clock)
        self.log = self.new_log()
        self.router = MatrixRouter(self)
        self.report()

    def new_log(self) -> InMemoryLogService:
        return InMemoryLogService(self.store, LogFaults(), self.clock.sleep)

    def report(self) -> None:
        """Send the router a load report of every running engine."""
        for engine in self.engines.values():
            if not engine.down:
                versions = (ModelVersion(MODEL, engine.version),)
                epoch = str(engine.epoch)
                report = LoadReport(engine.name, epoch, 0, 0, 0.0, versions)
                self.router.router.observe(report)

    def deliver_stale_event(self, name: str) -> None:
        """Deliver a delayed cache event of the engine's previous epoch."""
        previous = str(self.engines[name].epoch - 1)
        self.router.router.observe(CacheEventBatch(name, previous, 99, (1, 2, 3), ()))

    def heal(self) -> None:
        self.trigger.remaining = 0
        self.log.faults = LogFaults()
        for engine in self.engines.values():
            engine.down = False
        self.clock.sleep(2.0)
        self.log.deliver_late()
        if self.router.ledger is not None:
            self.router.ledger.write_releases()
        self.report()


class MatrixRouter:
    """The components of one router, connected to the fakes."""

    def __init__(self, world: World):
        settings, clock = world.settings, world.clock
        admission = AdmissionSettings(retry_budget_slack=10)
        self.live = LiveConfiguration(settings.configuration)
        policy = build_policy("prefix_aware", 16, 0.2, 60)
        self.router = Router(self.live, settings.daemon, policy, clock)
        self.router.fleet.set_leaving(world.leaving)
        self.ledger = ClaimLedger(world.log, sleep=clock.sleep)
        self.limiter = TeamLimiter()
        self.running = RunningRequests()
        self.budget = RetryBudget(admission, clock=clock)
        parts = ServingParts(
            self.ledger,
            self.limiter,
            self.budget,
            admission,
            self.running,
            single_instance_quarantine(),
            single_instance_limits(),
            clock,
        )
        engines = FakeEngineClient(world)
        self.completions = CompletionServer(self.router, engines, parts)
        self.services = ServiceServer(FakeServiceClient(world), parts)
