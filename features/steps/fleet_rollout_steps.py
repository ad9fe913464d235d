"""Steps for the weights rollout of the fleet package, in modelled time."""

from behave import given, then, when
from modelled_clock import Clock

from kumquatseam.engines import EngineOrderClient, ModelVersion
from kumquatseam.fleet._rollout import EngineReports, WeightsRollout

LOAD_S = 1.0
STEP_S = 0.1


class UpstreamStub:
    role = "serving"
    models = ("m0",)
    url = "http://engine"

    def __init__(self, name):
        self.name = name


class ModelStub:
    adapters = ()


class ConfigurationStub:
    """Sets version 2 as the desired version of every engine."""

    def __init__(self, count):
        self.upstreams = [UpstreamStub(f"e{number}") for number in range(count)]

    def desired_version(self, upstream, model):
        return "2"

    def model(self, name):
        return ModelStub

    def upstream(self, name):
        return next(upstream for upstream in self.upstreams if upstream.name == name)


class LiveStub:
    def __init__(self, count):
        self.current = ConfigurationStub(count)


class HeldLease:
    fence = 1


class ModelledEngines(EngineReports, EngineOrderClient):
    """Engines that load weights when ordered to, except some that never do.

    :param never: names of the engines that accept orders without loading.
    """

    def __init__(self, clock, names, never):
        self.clock = clock
        self.versions = dict.fromkeys(names, "1")
        self.never = never
        self.loaded_s = {}

    def close(self):
        pass

    def epoch(self, engine):
        return "epoch"

    def reported_model(self, engine, model):
        return ModelVersion(model, self.versions[engine], ())

    def role(self, engine):
        return "serving"

    def send(self, target, order):
        if target.name not in self.never:
            self.loaded_s.setdefault(target.name, self.clock() + LOAD_S)

    def pass_time(self):
        for name, loaded_s in self.loaded_s.items():
            if self.clock() >= loaded_s:
                self.versions[name] = "2"


@given("{count:d} engines to load, {never:d} of which accept the order and never load")
def step_engines(context, count, never):
    context.clock = Clock()
    live = LiveStub(count)
    names = [upstream.name for upstream in live.current.upstreams]
    context.engines = ModelledEngines(context.clock, names, set(names[:never]))
    context.rollout = WeightsRollout(
        live, HeldLease(), context.engines, context.engines, "r1", context.clock
    )


@when("the router that holds the rollout lease runs for {for_s:g} s")
def step_go_on(context, for_s):
    end_s = context.clock() + for_s
    while context.clock() < end_s:
        context.rollout.step()
        context.clock.sleep(STEP_S)
        context.engines.pass_time()


@then("the other {count:d} engines have loaded")
def step_loaded(context, count):
    versions = list(context.engines.versions.values())
    assert versions.count("2") == count, context.engines.versions
