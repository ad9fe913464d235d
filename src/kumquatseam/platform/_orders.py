"""Client of the order and report calls of the platform's engines."""

import json
import time

import urllib3

from kumquatseam.logs import part_logger
from kumquatseam.platform._availability import decode_availability
from kumquatseam.platform._reports import decode_move, decode_report
from kumquatseam.platform._values import DecodingError
from kumquatseam.pools import AddressPools
from kumquatseam.response_limits import ResponseLimits
from kumquatseam.rollouts import (
    EngineReport,
    LoadMode,
    MoveOutcome,
    MoveResult,
    OrderClient,
    OrderOutcome,
    WeightsOrder,
)
from kumquatseam.upstreams import (
    AvailabilityObserver,
    NullAvailabilityObserver,
    Upstream,
)

_log = part_logger("orders")

#: engines respond to an order before they execute it, so half a second is many
#: times the round trip.
_TIMEOUT_S = 0.5
#: a copy queues behind others on both links: some tens of runs of about 15 ms each.
_MOVE_TIMEOUT_S = 2.0
#: the same for the rest of a copy; the caller gets no events meanwhile, and the engines
#: are not ordered to load for a second.
_STOP_TIMEOUT_S = 0.4
#: size of a response; a report names a few models with their adapters.
_MAX_BYTES = 65_536
#: another replica responds at the address.
_MISDIRECTED = 421
_MODES = {LoadMode.DRAIN_FIRST: "queue", LoadMode.IN_PLACE: "retain"}
_OUTCOMES = {
    202: OrderOutcome.ACCEPTED,
    200: OrderOutcome.ALREADY_HOLDS,
    409: OrderOutcome.BUSY,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.OTHER_INCARNATION,
}


class PlatformOrderClient(OrderClient):
    """Sends orders and requests reports over HTTP.

    :param observer: is told what the responses say about further requests.
    """

    def __init__(self, observer: AvailabilityObserver | None = None) -> None:
        self._observer = observer or NullAvailabilityObserver()
        # Responses bear no id: a late one would pass for the one to another call.
        self._pools = AddressPools(keeps_connections=False)
        # Frequent, and of the past anyway.
        self._report_pools = AddressPools()

    def close(self) -> None:
        """Close every idle connection."""
        self._report_pools.close()

    def order(self, upstream: Upstream, order: WeightsOrder) -> OrderOutcome:
        body = {
            "op": "version",
            "model": order.weights.model,
            "version": order.weights.version,
            "mode": _MODES[order.mode],
            "holder": order.holder,
            "fence": order.fence,
            "expect": order.expected_orders,
        }
        # An engine that rests again and again would never get its weights otherwise.
        if not self._observer.begin_call(upstream.incarnation_id, is_urgent=True):
            return OrderOutcome.UNREACHED
        try:
            response = self._call("POST", upstream, "/order", json.dumps(body).encode())
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            self._log_failure(upstream, "order", error)
            return OrderOutcome.UNREACHED
        except urllib3.exceptions.HTTPError as error:
            self._log_failure(upstream, "order", error)
            return OrderOutcome.UNANSWERED
        return _OUTCOMES.get(response.status, OrderOutcome.REFUSED)

    def report(self, upstream: Upstream) -> EngineReport | None:
        if not self._observer.begin_call(upstream.incarnation_id):
            return None
        try:
            asked_s = time.monotonic()
            response = self._call("GET", upstream, "/report")
            if response.status != 200:
                return None
            report = decode_report(response.data)
            self._observer.note_born(upstream.incarnation_id, report.born_ms, asked_s)
            return report
        except (urllib3.exceptions.HTTPError, DecodingError) as error:
            self._log_failure(upstream, "report", error)
            return None

    def move_run(
        self,
        source: Upstream,
        request_id: str,
        destination: Upstream,
        stops_run: bool,
    ) -> MoveResult:
        body = {"id": request_id, "to": destination.address, "last": stops_run}
        if not self._observer.begin_call(source.incarnation_id):
            return MoveResult(MoveOutcome.REFUSED)
        timeout_s = _STOP_TIMEOUT_S if stops_run else _MOVE_TIMEOUT_S
        try:
            response = self._call(
                "POST", source, "/kv-move", json.dumps(body).encode(), timeout_s
            )
            return decode_move(response.status, response.data)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            self._log_failure(source, "move", error, request=request_id)
            return MoveResult(MoveOutcome.REFUSED)
        except (urllib3.exceptions.HTTPError, DecodingError) as error:
            self._log_failure(source, "move", error, request=request_id)
            return MoveResult(MoveOutcome.UNANSWERED)

    def free_run(self, source: Upstream, handle: str) -> None:
        if not self._observer.begin_call(source.incarnation_id):
            return
        try:
            self._call("DELETE", source, f"/kv-handle/{handle}")
        except urllib3.exceptions.HTTPError as error:
            # The engine frees it itself after a while.
            self._log_failure(source, "free", error)

    def _call(
        self,
        method: str,
        upstream: Upstream,
        path: str,
        body=None,
        timeout_s=_TIMEOUT_S,
    ):
        pools = self._report_pools if path == "/report" else self._pools
        response = pools.request(
            method,
            f"http://{upstream.address}",
            path,
            ResponseLimits(_MAX_BYTES, timeout_s),
            body=body,
            headers={
                "Content-Type": "application/json",
                "X-Expect-Instance": upstream.upstream_id,
            },
            timeout=urllib3.Timeout(timeout_s),
        )
        if response.status != _MISDIRECTED:
            self._observer.note_availability(
                upstream.incarnation_id,
                decode_availability(response.status, response.headers.getlist),
            )
        return response

    def _log_failure(
        self, upstream: Upstream, call: str, error: Exception, **more: str
    ) -> None:
        _log.bind(
            upstream=upstream.incarnation_id, call=call, error=repr(error), **more
        ).warning("Call to an engine failed.")
