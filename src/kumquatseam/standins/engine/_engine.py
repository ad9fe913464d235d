"""A stand-in model engine speaking OpenAI-compatible HTTP.

It caches prompt blocks under the router's ``cache_salt`` joined with its own
epoch, prices prefill per uncached token and decode per token in modelled
time, hands out decode slots by priority, takes orders to load weights, and
publishes cache events and load through :class:`EventPublisher`. Its own
accounting is served at ``/stats`` so that tests can check what it really
reused and ran.
"""

import json
import os
import random
import time
import uuid

import attrs
import bottle
import gevent
import xxhash

from kumquatseam.engines import (
    EPOCH_HEADER,
    LIMIT_HEADER,
    NOT_EXECUTED_HEADER,
    SERVING,
    VERSION_HEADER,
    block_keys,
    salt_seed,
    tokenize,
)
from kumquatseam.instances import HttpInstanceList, Instance, InstanceRegistration
from kumquatseam.logs import part_logger
from kumquatseam.standins._http import StandinServer, json_answer, json_body
from kumquatseam.standins.engine._cache import BlockCache
from kumquatseam.standins.engine._orders import EngineOrders
from kumquatseam.standins.engine._publisher import EventPublisher
from kumquatseam.standins.engine._settings import EngineStandinSettings
from kumquatseam.standins.engine._slots import PrioritySlots

_log = part_logger("engine")
_WORDS = (
    "rendben",
    "hiany",
    "egyezik",
    "elteres",
    "jovahagyva",
    "ellenorizve",
    "ok",
    "fix",
)
_RECENT_REQUESTS = 1000
_HANG_S = 3600.0


class StandinEngine:
    """One stand-in engine with its HTTP server and event publisher.

    :param settings: how it behaves.
    """

    def __init__(self, settings: EngineStandinSettings) -> None:
        self.settings = settings
        self.epoch = uuid.uuid4().hex[:12]
        self._rng = random.Random(settings.seed)
        self._cache = BlockCache(settings.capacity_blocks)
        self._slots = PrioritySlots(settings.slots)
        self.orders = EngineOrders(
            self.epoch,
            settings.versions,
            settings.checks_fences,
            settings.load_s * settings.time_scale,
            settings.weights_url,
            self._weights_changed,
        )
        self._publisher = EventPublisher(
            settings.name,
            self.epoch,
            settings.events_address,
            settings.event_interval_s * settings.time_scale,
            settings.event_delay_s * settings.time_scale,
            settings.event_loss_ratio,
            settings.load_lag_s * settings.time_scale,
            self._rng,
            self._sample_load,
            lambda: (
                self.orders.named_models(),
                self.orders.role,
                self.settings.software,
            ),
        )
        self._requests: list[dict] = []
        self._totals = {"requests": 0, "prompt_tokens": 0, "cached_tokens": 0}
        app = bottle.Bottle()
        app.post("/v1/completions", callback=self._complete)
        app.post("/v1/orders", callback=self._order)
        app.post("/v1/cache/probe", callback=self._probe)
        app.get("/stats", callback=self._stats)
        app.post("/standin/leave", callback=self._leave)
        app.put("/standin/faults", callback=self._set_faults)
        self._server = StandinServer(app, settings.host, settings.port)
        self._registration = self._build_registration()

    def _build_registration(self) -> InstanceRegistration | None:
        if not self.settings.instances_url:
            return None
        instance = Instance(
            name=self.settings.name,
            kind="engine",
            address=f"http://{self.settings.host}:{self.settings.port}",
            zone=self.settings.zone,
        )
        return InstanceRegistration(
            HttpInstanceList(self.settings.instances_url), instance
        )

    def start(self) -> None:
        """Start serving and publishing."""
        self._publisher.start()
        self._server.start()
        if self._registration is not None:
            self._registration.start()
        _log.info(
            "{} serving on http://{}:{} epoch {}",
            self.settings.name,
            self.settings.host,
            self.settings.port,
            self.epoch,
        )

    def close(self) -> None:
        """Stop serving and publishing."""
        if self._registration is not None:
            self._registration.close()
        self._server.close()
        self._publisher.close()

    def _weights_changed(self) -> None:
        if self.settings.clears_cache_on_load:
            self._publisher.record(self._cache.clear())

    def _sample_load(self):
        return self._slots.running, self._slots.waiting, self._cache.usage_ratio

    def _set_faults(self):
        """Change how the engine behaves from now on (for tests)."""
        self.settings = attrs.evolve(self.settings, **json_body())
        return {}

    def _leave(self):
        """Show the engine as leaving while it goes on serving (for tests)."""
        self._registration.leave()
        return {"leaving": True}

    def _order(self):
        return json_answer(self.orders.take(json_body()), {"busy": self.orders.busy})

    def _keys(self, prompt: str, salt: str) -> tuple[list[str], list[int]]:
        tokens = tokenize(prompt)
        seed = salt_seed(salt)
        return tokens, block_keys(tokens, self.settings.block_size_tokens, seed)

    def _probe(self):
        body = json_body()
        _, keys = self._keys(body.get("prompt", ""), body.get("cache_salt", ""))
        return {
            "cached_tokens": self._cache.peek(keys) * self.settings.block_size_tokens
        }

    def _complete(self):
        body = json_body()
        if self.settings.hang:
            gevent.sleep(_HANG_S)
        refusal = self._refusal(body)
        if refusal is not None:
            self._announce_limit(refusal)
            return refusal
        request_id = body.get("request_id") or uuid.uuid4().hex
        bottle.response.content_type = "text/event-stream"
        self._announce_limit(bottle.response)
        return self._stream(request_id, body)

    def _announce_limit(self, response: bottle.BaseResponse) -> None:
        if self.settings.limit_per_s is not None:
            response.set_header(LIMIT_HEADER, f"{self.settings.limit_per_s:g}")

    def _refusal(self, body: dict) -> bottle.HTTPResponse | None:
        """Return the answer to a request that is not to be run, if it is not."""
        version = self.orders.versions.get(body.get("model", ""))
        expected = body.get("expected_version")
        wrong_version = version is not None and expected not in (None, version)
        wrong_life = body.get("expected_epoch") not in (None, self.epoch)
        if wrong_version or wrong_life:
            answer = json_answer(421, {"why": "other weights or another life"})
            answer.set_header(EPOCH_HEADER, self.epoch)
            if version is not None:
                answer.set_header(VERSION_HEADER, version)
        elif self.orders.busy or self.orders.role != SERVING:
            answer = json_answer(503, {"why": "loading weights or on standby"})
        else:
            return None
        answer.set_header(NOT_EXECUTED_HEADER, "true")
        return answer

    def _stream(self, request_id: str, body: dict):
        """Wait for a slot, use the cache, then stream the answer's tokens."""
        settings = self.settings
        model, salt = body.get("model", ""), body.get("cache_salt", "")
        prompt = body.get("prompt", "")
        max_tokens = int(body.get("max_tokens", 16))
        resume_after = int(body.get("resume_after_tokens") or 0)
        tokens, keys = self._keys(prompt, salt)
        label = (
            f"{request_id}-of-someone-else"
            if settings.crossed_answers
            else (request_id)
        )
        version = self.orders.versions.get(model, "")
        words = answer_words(prompt, version, max_tokens, settings.software)
        self._slots.acquire(int(body.get("priority", 0)))
        try:
            matched, change = self._cache.admit(keys)
            self._publisher.record(change)
            cached_tokens = matched * settings.block_size_tokens
            self._account(request_id, salt, len(tokens), cached_tokens, resume_after)
            self._sleep_ms(
                (len(tokens) - cached_tokens) * settings.prefill_ms_per_token
            )
            if settings.crashes_on and settings.crashes_on in prompt:
                os._exit(1)
            for index in range(resume_after, max_tokens):
                if index > resume_after:
                    self._sleep_ms(settings.decode_ms_per_token)
                if settings.break_after_tokens == index - resume_after > 0:
                    raise ConnectionResetError("told to break")
                choice = {
                    "index": 0,
                    "text": " " + words[index],
                    "finish_reason": "length" if index == max_tokens - 1 else None,
                }
                yield _event(_envelope(label, model, [choice], settings.software))
        finally:
            self._slots.release()
        usage = {
            "prompt_tokens": len(tokens),
            "completion_tokens": max_tokens,
            "total_tokens": len(tokens) + max_tokens,
            "prompt_tokens_details": {"cached_tokens": cached_tokens},
        }
        yield _event({**_envelope(label, model, []), "usage": usage})
        yield b"data: [DONE]\n\n"

    def _sleep_ms(self, modelled_ms: float) -> None:
        gevent.sleep(modelled_ms / 1000 * self.settings.time_scale)

    def _account(
        self, request_id, salt, prompt_tokens, cached_tokens, resume_after
    ) -> None:
        self._totals["requests"] += 1
        self._totals["prompt_tokens"] += prompt_tokens
        self._totals["cached_tokens"] += cached_tokens
        self._requests.append(
            {
                "request_id": request_id,
                "cache_salt": salt,
                "prompt_tokens": prompt_tokens,
                "cached_tokens": cached_tokens,
                "resume_after_tokens": resume_after,
                "began_s": time.time(),
            }
        )
        del self._requests[:-_RECENT_REQUESTS]

    def _stats(self):
        return {
            "name": self.settings.name,
            "epoch": self.epoch,
            **self._totals,
            "cached_blocks": len(self._cache),
            "event_batches_sent": self._publisher.sent_batches,
            "event_batches_dropped": self._publisher.dropped_batches,
            "recent_requests": self._requests,
            "versions": self.orders.versions,
            "adapters": self.orders.adapters,
            "role": self.orders.role,
            "orders": [attrs.asdict(order) for order in self.orders.carried_out],
            "refused_fences": self.orders.refused_fences,
        }


def answer_words(
    prompt: str, version: str, count: int, software: str = ""
) -> list[str]:
    """Return the answer's words: the same for the same weights and software."""
    weights = f"{version}/{software}" if software else version
    rng = random.Random(xxhash.xxh3_64_intdigest(f"{weights}:{prompt}".encode()))
    return [rng.choice(_WORDS) for _ in range(count)]


def _envelope(request_id: str, model: str, choices: list, software: str = "") -> dict:
    named = {"system_fingerprint": software} if software else {}
    return {
        **named,
        "id": request_id,
        "object": "text_completion",
        "created": int(time.time()),
        "model": model,
        "choices": choices,
    }


def _event(data: dict) -> bytes:
    return b"data: " + json.dumps(data).encode() + b"\n\n"
