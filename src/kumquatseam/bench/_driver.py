"""Sends a workload through a router over real HTTP and measures it."""

import json
import time

import attrs
import gevent.pool
import sseclient
import urllib3

from kumquatseam.bench._workload import WorkloadRequest
from kumquatseam.engines import cache_salt
from kumquatseam.metrics.figures import RequestStatistics


@attrs.frozen
class DriveTarget:
    """Where the driver sends requests and whom it probes.

    :param router_url: the router's base URL.
    :param engine_urls: every engine's base URL, probed for wasted work.
    :param model: the model name.
    :param model_version: its version (for the cache salt).
    :param max_tokens: tokens asked per request.
    """

    router_url: str
    engine_urls: tuple[str, ...]
    model: str
    model_version: str
    max_tokens: int = 16


@attrs.frozen
class DriveResult:
    """What one drive saw besides the figures.

    :param incomplete_streams: answers that ended without ``[DONE]``.
    :param refusals: answers with an error status.
    """

    incomplete_streams: int
    refusals: int


class WorkloadDriver:
    """Drives requests with bounded concurrency.

    :param target: where to send.
    :param concurrency: requests in flight at once.
    """

    def __init__(self, target: DriveTarget, concurrency: int) -> None:
        self._target = target
        self._pool = gevent.pool.Pool(concurrency)
        self._http = urllib3.PoolManager(
            maxsize=concurrency * 2,
            retries=False,
            timeout=urllib3.Timeout(connect=2, read=30),
        )
        self.figures = RequestStatistics()
        self._incomplete = 0
        self._refusals = 0

    def drive(
        self, requests: list[WorkloadRequest], arrival_gap_s: float
    ) -> DriveResult:
        """Send every request, one every ``arrival_gap_s``, and wait for all."""
        for request in requests:
            self._pool.spawn(self._send, request)
            time.sleep(arrival_gap_s)
        self._pool.join()
        return DriveResult(self._incomplete, self._refusals)

    def _send(self, request: WorkloadRequest) -> None:
        wasted_ceiling = self._best_cached(request)
        body = {
            "model": self._target.model,
            "prompt": request.prompt,
            "stream": True,
            "max_tokens": self._target.max_tokens,
            "stream_options": {"include_usage": True},
        }
        headers = {
            "Authorization": f"Bearer {request.team.api_key}",
            "Content-Type": "application/json",
            "X-Kumquatseam-Priority": request.priority_class,
        }
        started_s = time.monotonic()
        response = self._http.request(
            "POST",
            f"{self._target.router_url}/v1/completions",
            body=json.dumps(body).encode(),
            headers=headers,
            preload_content=False,
        )
        if response.status != 200:
            self._refusals += 1
            self.figures.record_refusal()
            response.release_conn()
            return
        ttft_s = None
        usage = None
        done = False
        for event in sseclient.SSEClient(response.stream(1024)).events():
            if event.data == "[DONE]":
                done = True
                break
            data = json.loads(event.data)
            if data.get("choices") and ttft_s is None:
                ttft_s = time.monotonic() - started_s
            usage = data.get("usage") or usage
        response.release_conn()
        if not done or usage is None:
            self._incomplete += 1
            return
        cached = usage["prompt_tokens_details"]["cached_tokens"]
        self.figures.record(
            ttft_s, usage["prompt_tokens"], cached, max(0, wasted_ceiling - cached)
        )

    def _best_cached(self, request: WorkloadRequest) -> int:
        """Ask every engine how much of the prompt it holds now; return the most."""
        salt = cache_salt(
            request.team.name, self._target.model, self._target.model_version
        )
        body = json.dumps({"prompt": request.prompt, "cache_salt": salt}).encode()
        best = 0
        for url in self._target.engine_urls:
            try:
                answer = self._http.request("POST", f"{url}/v1/cache/probe", body=body)
                best = max(best, json.loads(answer.data)["cached_tokens"])
            except urllib3.exceptions.HTTPError:
                continue
        return best
