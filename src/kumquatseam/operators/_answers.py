"""Answering operators' queries from the state of this router."""

import time
from collections.abc import Callable, Iterable

import attrs

from kumquatseam.fleet import LiveConfiguration, Membership, QueryAnswer, Row
from kumquatseam.operators._statements import Condition, Query
from kumquatseam.operators._subjects import SUBJECT_COLUMNS
from kumquatseam.routing import Router
from kumquatseam.serving import RefusalLog, RunningRequests
from kumquatseam.settings import ACTIVE, UpstreamSettings

_LIST_SEPARATOR = ", "


@attrs.frozen
class QuerySources:
    """The components of a router that queries read.

    :param name: the router's name.
    :param live: the active configuration.
    :param router: the state of the engines and the prefix index.
    :param running: requests in progress.
    :param refusals: recently refused requests.
    :param membership: states of the peers; ``None`` without peers.
    """

    name: str
    live: LiveConfiguration
    router: Router
    running: RunningRequests
    refusals: RefusalLog
    membership: Membership | None


class QueryAnswerer:
    """Answers queries from the state of this router.

    :param sources: the components that queries read.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self, sources: QuerySources, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._sources = sources
        self._clock = clock
        self._subjects: dict[str, Callable[[Query], Iterable[dict]]] = {
            "running": self._running,
            "cached": self._cached,
            "leaving": self._leaving,
            "refused": self._refused,
            "routers": self._routers,
            "teams": self._teams,
            "priorities": self._priorities,
            "models": self._models,
            "upstreams": self._upstreams,
            "services": self._services,
        }
        assert set(self._subjects) == set(SUBJECT_COLUMNS)

    def answer(self, query: Query) -> QueryAnswer:
        """Return this router's rows for ``query``."""
        sources = self._sources
        columns = SUBJECT_COLUMNS[query.subject]
        rows = []
        for cells in self._subjects[query.subject](query):
            cells["router"] = sources.name
            if all(_matches(condition, cells) for condition in query.conditions):
                rows.append(Row(tuple(str(cells[column]) for column in columns)))
        return QueryAnswer(sources.name, sources.live.next_offset, tuple(rows))

    def _running(self, query: Query) -> Iterable[dict]:
        now_s = self._clock()
        for request in self._sources.running.all():
            age_s = now_s - request.started_s
            if query.since_s is not None and age_s > query.since_s:
                continue
            upstream = self._sources.live.current.upstream(request.upstream)
            yield {
                "request": request.request_id,
                "team": request.team,
                "model": request.target,
                "upstream": request.upstream,
                "zone": upstream.zone if upstream else "",
                "priority": request.priority_class,
                "age_s": f"{age_s:.2f}",
            }

    def _cached(self, query: Query) -> Iterable[dict]:
        router = self._sources.router
        configuration = self._sources.live.current
        for upstream in configuration.upstreams:
            versions = (
                router.fleet.version(upstream.name, model)
                or configuration.desired_version(upstream, model)
                for model in upstream.models
            )
            yield {
                "upstream": upstream.name,
                "zone": upstream.zone,
                "model": _LIST_SEPARATOR.join(upstream.models),
                "version": _LIST_SEPARATOR.join(versions),
                "epoch": router.fleet.epoch(upstream.name) or "",
                "blocks": router.index.size_blocks(upstream.name),
                "lost_batches": router.index.lost_batches(upstream.name),
            }

    def _leaving(self, query: Query) -> Iterable[dict]:
        fleet = self._sources.router.fleet
        for upstream in self._sources.live.current.upstreams:
            reason = self._leaving_reason(upstream)
            if reason:
                yield {
                    "upstream": upstream.name,
                    "zone": upstream.zone,
                    "model": _LIST_SEPARATOR.join(upstream.models),
                    "reason": reason,
                    "load": fleet.load_requests(upstream.name),
                }

    def _leaving_reason(self, upstream: UpstreamSettings) -> str:
        fleet = self._sources.router.fleet
        if upstream.state != ACTIVE:
            return upstream.state
        if fleet.is_leaving(upstream.name):
            return "leaving"
        return "" if fleet.is_live(upstream.name, self._clock()) else "not live"

    def _refused(self, query: Query) -> Iterable[dict]:
        now_s = self._clock()
        for refusal in self._sources.refusals.since(query.since_s):
            yield {
                "request": refusal.request_id,
                "team": refusal.team,
                "model": refusal.target,
                "reason": refusal.reason,
                "run": "may_have_run" if refusal.may_have_run else "not_run",
                "age_s": f"{now_s - refusal.refused_s:.1f}",
            }

    def _routers(self, query: Query) -> Iterable[dict]:
        sources = self._sources
        own_offset = sources.live.next_offset
        yield {"member": sources.name, "state": "alive", "offset": own_offset}
        if sources.membership is not None:
            for member in sources.membership.members():
                yield {
                    "member": member.name,
                    "state": member.state,
                    "offset": member.next_offset,
                }

    def _teams(self, query: Query) -> Iterable[dict]:
        # API keys are credentials and must not be shown.
        for team in self._sources.live.current.teams:
            yield {
                "team": team.name,
                "priority": _LIST_SEPARATOR.join(team.priority_classes),
                "model": _LIST_SEPARATOR.join(team.models),
                "upstream": _LIST_SEPARATOR.join(team.upstreams),
                "service": _LIST_SEPARATOR.join(team.services),
                "max_running": team.max_running,
            }

    def _priorities(self, query: Query) -> Iterable[dict]:
        for priority in self._sources.live.current.priorities:
            yield {
                "priority": priority.name,
                "rank": priority.rank,
                "max_queue_ratio": priority.max_queue_ratio,
            }

    def _models(self, query: Query) -> Iterable[dict]:
        for model in self._sources.live.current.models:
            yield {
                "model": model.name,
                "version": model.version,
                "adapters": _LIST_SEPARATOR.join(model.adapters),
            }

    def _upstreams(self, query: Query) -> Iterable[dict]:
        now_s = self._clock()
        fleet = self._sources.router.fleet
        for upstream in self._sources.live.current.upstreams:
            yield {
                "upstream": upstream.name,
                "zone": upstream.zone,
                "model": _LIST_SEPARATOR.join(upstream.models),
                "slots": upstream.slots,
                "state": upstream.state,
                "live": "yes" if fleet.is_live(upstream.name, now_s) else "no",
                "role": fleet.role(upstream.name),
            }

    def _services(self, query: Query) -> Iterable[dict]:
        for service in self._sources.live.current.services:
            yield {
                "service": service.name,
                "zone": service.zone,
                "urls": _LIST_SEPARATOR.join(service.urls),
                "repeatable_methods": _LIST_SEPARATOR.join(service.repeatable_methods),
            }


def _matches(condition: Condition, cells: dict) -> bool:
    """Return whether a row meets ``condition``, for lists by their elements."""
    elements = str(cells[condition.column]).split(_LIST_SEPARATOR)
    return (condition.text in elements) == condition.equal
