"""Choosing back ends within the limits that they announced."""

from collections.abc import Callable, Collection
from typing import TypeVar

import attrs

from kumquatseam.errors import KumquatseamError, UpstreamsRestingError
from kumquatseam.quotas import CallerRetry, UpstreamLimitError, UpstreamLimits
from kumquatseam.request_errors import NoUpstreamError, UpstreamError
from kumquatseam.upstreams import Unavailability

Choice = TypeVar("Choice")

#: longest Retry-After for which a place is reserved.
MAX_RETRY_WAIT_S = 5.0
#: back ends whose names are remembered.
MAX_REMEMBERED = 4096


@attrs.frozen
class LimitedRequest:
    """A request that is sent to one of several back ends.

    :param request_id: for the log.
    :param key: identifies it and its retries.
    """

    request_id: str
    key: str


@attrs.frozen
class BackEnd:
    """A back end that a request may be sent to.

    :param name: its name.
    :param incarnation_id: its incarnation; changes when it starts again, if it says so.
    """

    name: str
    incarnation_id: str


class LimitedChooser:
    """Has each request granted by the owners of its back end's limit.

    :param limits: grants requests.
    """

    def __init__(self, limits: UpstreamLimits) -> None:
        self._limits = limits
        #: names of the back ends whose limit, or lack of one, the owners confirmed.
        #: A router asks after its start only; it is notified of changes.
        self._names: dict[str, str] = {}

    def choose(
        self,
        request: LimitedRequest,
        choose: Callable[[Collection[str]], Choice],
        back_end_of: Callable[[Choice], BackEnd],
    ) -> Choice:
        """Return the choice of a back end that has room for the request.

        If none has room, a place is reserved for the request's retry.

        :param choose: makes a choice; takes the names of back ends to leave out.
        :param back_end_of: returns the chosen back end.
        :raises NoUpstreamError: if there is no back end.
        :raises UpstreamLimitError: if no back end has room.
        :raises UpstreamsRestingError: if all back ends rest.
        """
        left_out = {
            name: incarnation_id
            for incarnation_id, name in self._names.items()
            if self._limits.used_up_s(incarnation_id) or self._rest_s(incarnation_id)
        }
        while True:
            try:
                chosen = choose(left_out)
            except NoUpstreamError:
                if not left_out:
                    raise
                return self._use_reserved(request, left_out, choose)
            back_end = back_end_of(chosen)
            if self._try_acquire(request, back_end):
                return chosen
            left_out[back_end.name] = back_end.incarnation_id

    def _try_acquire(self, request: LimitedRequest, back_end: BackEnd) -> bool:
        incarnation_id = back_end.incarnation_id
        if self._rest_s(incarnation_id):
            self._remember(back_end)
            return False
        try:
            grant = self._limits.acquire(
                incarnation_id,
                request.request_id,
                is_limit_known=incarnation_id in self._names,
            )
        except UpstreamLimitError:
            self._remember(back_end)
            return False
        if grant.is_limit_known:
            self._remember(back_end)
        return True

    def _rest_s(self, incarnation_id: str) -> float:
        """Return for how long a back end still wants no requests."""
        availability = self._limits.availabilities.of(incarnation_id)
        return availability.left_s(Unavailability.RESTING)

    def _remember(self, back_end: BackEnd) -> None:
        if len(self._names) >= MAX_REMEMBERED:
            self._names.clear()
        self._names[back_end.incarnation_id] = back_end.name

    def _use_reserved(
        self,
        request: LimitedRequest,
        used_up: dict[str, str],
        choose: Callable[[Collection[str]], Choice],
    ) -> Choice:
        """Use the place that was reserved when the request was refused before.

        :param used_up: incarnations of the back ends without room, by name.
        :raises UpstreamsRestingError: if all of them rest.
        """
        names = {
            incarnation_id: name
            for name, incarnation_id in used_up.items()
            if not self._rest_s(incarnation_id)
        }
        if not names:
            rest_s = min(map(self._rest_s, used_up.values()))
            raise UpstreamsRestingError(", ".join(sorted(used_up)), rest_s)
        preferred = self._limits.preferred_for_retry(request.key, names)
        retry = CallerRetry(request.key, MAX_RETRY_WAIT_S)
        grant = self._limits.acquire(preferred, request.request_id, retry)
        try:
            return choose(set(used_up) - {names[preferred]})
        except Exception:
            self._limits.release(grant)
            raise


def raise_if_run(error: KumquatseamError, may_have_run: bool, upstream: str) -> None:
    """Turn the refusal of a request that may have run into another failure.

    :raises UpstreamError: if it may have run on ``upstream``.
    """
    if may_have_run:
        raise UpstreamError(upstream, True, str(error)) from error
