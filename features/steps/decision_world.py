"""Builders of a placer and of requests for it, in modelled time."""

from kumquatseam.placement import (
    PlacementRequest,
    Placer,
)
from kumquatseam.prompts import PromptChain, PromptIndex, PromptPart
from kumquatseam.routes import EngineTraits, ServiceTraits
from kumquatseam.upstreams import (
    Upstream,
    UpstreamDirectory,
    WeightsTargets,
    WeightsVersion,
)

ENGINES = ServiceTraits("engines", engine=EngineTraits(48, 100_000, ("m0",)))


def build_placer(clock, entries):
    directory = UpstreamDirectory(clock)
    for upstream_id, version in entries:
        weights = (WeightsVersion("m0", version),)
        directory.put(
            Upstream(
                upstream_id,
                "engines",
                "127.0.0.1:1",
                slots=48,
                weights=weights,
                software_version="v1",
            )
        )
    targets = WeightsTargets(clock)
    return Placer(directory, PromptIndex(clock), "z", targets, clock=clock), targets


def build_request(opening="o", own="x"):
    parts = (PromptPart("i", 2520), PromptPart(opening, 3780), PromptPart(own, 2890))
    return PlacementRequest(
        "r", ENGINES, None, "m0", PromptChain(parts), frozenset(), 1
    )
