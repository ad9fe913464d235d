"""A stand-in model engine speaking OpenAI-compatible HTTP.

It caches prompt blocks under the router's ``cache_salt`` joined with its own
epoch, prices prefill per uncached token and decode per token in modelled
time, hands out decode slots by priority, and publishes cache events and load
through :class:`EventPublisher`. Its own accounting is served at ``/stats``
so that tests can check what it really reused.
"""

import json
import random
import time
import uuid

import bottle
import gevent
import gevent.pywsgi
import xxhash

from kumquatseam.engines import block_keys, salt_seed, tokenize
from kumquatseam.logs import part_logger
from kumquatseam.standins.engine._cache import BlockCache
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
        )
        self._requests: list[dict] = []
        self._totals = {"requests": 0, "prompt_tokens": 0, "cached_tokens": 0}
        self._server: gevent.pywsgi.WSGIServer | None = None
        self.app = bottle.Bottle()
        self.app.post("/v1/completions", callback=self._complete)
        self.app.post("/v1/cache/probe", callback=self._probe)
        self.app.get("/stats", callback=self._stats)
        self.app.get("/health", callback=lambda: {"status": "ok", "epoch": self.epoch})

    def start(self) -> None:
        """Start serving and publishing."""
        self._publisher.start()
        self._server = gevent.pywsgi.WSGIServer(
            (self.settings.host, self.settings.port), self.app, log=None
        )
        self._server.start()
        _log.info(
            "{} serving on http://{}:{} epoch {}",
            self.settings.name,
            self.settings.host,
            self.settings.port,
            self.epoch,
        )

    def close(self) -> None:
        """Stop serving and publishing."""
        if self._server is not None:
            self._server.stop(timeout=1)
        self._publisher.close()

    def _sample_load(self):
        return self._slots.running, self._slots.waiting, self._cache.usage_ratio

    def _keys(self, prompt: str, salt: str) -> tuple[list[str], list[int]]:
        tokens = tokenize(prompt)
        seed = salt_seed(salt)
        return tokens, block_keys(tokens, self.settings.block_size_tokens, seed)

    def _probe(self):
        body = json.loads(bottle.request.body.read() or b"{}")
        _, keys = self._keys(body.get("prompt", ""), body.get("cache_salt", ""))
        return {
            "cached_tokens": self._cache.peek(keys) * self.settings.block_size_tokens
        }

    def _complete(self):
        body = json.loads(bottle.request.body.read() or b"{}")
        prompt = body.get("prompt", "")
        salt = body.get("cache_salt", "")
        rank = int(body.get("priority", 0))
        max_tokens = int(body.get("max_tokens", 16))
        request_id = body.get("request_id") or uuid.uuid4().hex
        if self.settings.crossed_answers:
            request_id = f"{request_id}-of-someone-else"
        bottle.response.content_type = "text/event-stream"
        return self._stream(
            request_id, body.get("model", ""), prompt, salt, rank, max_tokens
        )

    def _stream(self, request_id, model, prompt, salt, rank, max_tokens):
        """Wait for a slot, use the cache, then stream ``max_tokens`` tokens."""
        tokens, keys = self._keys(prompt, salt)
        rng = random.Random(
            xxhash.xxh3_64_intdigest(f"{self.settings.seed}:{prompt}".encode())
        )
        scale = self.settings.time_scale
        self._slots.acquire(rank)
        try:
            matched, change = self._cache.admit(keys)
            self._publisher.record(change)
            cached_tokens = matched * self.settings.block_size_tokens
            self._account(request_id, salt, len(tokens), cached_tokens)
            uncached_tokens = len(tokens) - cached_tokens
            gevent.sleep(
                uncached_tokens * self.settings.prefill_ms_per_token / 1000 * scale
            )
            for index in range(max_tokens):
                if index:
                    gevent.sleep(self.settings.decode_ms_per_token / 1000 * scale)
                last = index == max_tokens - 1
                choice = {
                    "index": 0,
                    "text": " " + rng.choice(_WORDS),
                    "finish_reason": "length" if last else None,
                }
                yield _event(
                    {
                        "id": request_id,
                        "object": "text_completion",
                        "created": int(time.time()),
                        "model": model,
                        "choices": [choice],
                    }
                )
        finally:
            self._slots.release()
        usage = {
            "prompt_tokens": len(tokens),
            "completion_tokens": max_tokens,
            "total_tokens": len(tokens) + max_tokens,
            "prompt_tokens_details": {"cached_tokens": cached_tokens},
        }
        yield _event(
            {
                "id": request_id,
                "object": "text_completion",
                "model": model,
                "choices": [],
                "usage": usage,
            }
        )
        yield b"data: [DONE]\n\n"

    def _account(self, request_id, salt, prompt_tokens, cached_tokens) -> None:
        self._totals["requests"] += 1
        self._totals["prompt_tokens"] += prompt_tokens
        self._totals["cached_tokens"] += cached_tokens
        self._requests.append(
            {
                "request_id": request_id,
                "cache_salt": salt,
                "prompt_tokens": prompt_tokens,
                "cached_tokens": cached_tokens,
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
        }


def _event(data: dict) -> bytes:
    return b"data: " + json.dumps(data).encode() + b"\n\n"
