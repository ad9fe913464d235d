"""Which incarnation of an upstream a connection leads to.

An upstream may start again under its id, with other software, and its new entry is read
later. Requests name the id that they expect, which does not tell the two apart.
"""

import time
from collections.abc import Callable

import gevent

from kumquatseam.http1 import UpstreamConnection
from kumquatseam.logs import part_logger
from kumquatseam.rollouts import OrderClient
from kumquatseam.upstreams import UpstreamDirectory, UpstreamStatus

_log = part_logger("processes")

#: pause after a question without an answer.
ASK_PAUSE_S = 0.1


class UpstreamProcesses:
    """Identifies the process at the other end of a connection.

    A process that was alive before a connection was opened, and still is afterwards, is
    the one that the connection leads to. That it was alive when it was sent something
    is known from its answers: to polls, which state its start, and to requests on
    connections that are known to lead to it. Where neither is recent, it is asked for
    its report.

    An incarnation that does not state when it started has an id of its own, and no
    other can be asked through another instance: such connections are taken to lead to
    the incarnation that is listed.

    :param directory: the known upstreams.
    :param client: asks for reports.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        client: OrderClient,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._directory = directory
        self._client = client
        self._clock = clock
        self._asking: dict[str, gevent.Greenlet] = {}

    def identify(
        self, status: UpstreamStatus, connection: UpstreamConnection
    ) -> UpstreamStatus | None:
        """Return the incarnation that a connection leads to; ``None`` if unknown.

        :param status: the incarnation that it was opened to.
        """
        newest = self._directory.newest(status)
        if not status.upstream.born_ms or connection.is_relayed:
            return newest if self.is_listed_as(status) else None
        for known in (status, newest):
            if _is_process(known, connection):
                return known
        return None

    def is_listed_as(self, status: UpstreamStatus) -> bool:
        """Return whether the listed incarnation has the software of an earlier one."""
        newest = self._directory.newest(status)
        return newest.upstream.service_version == status.upstream.service_version

    def may_identify(
        self, status: UpstreamStatus, connection: UpstreamConnection
    ) -> bool:
        """Return whether it is known where a connection leads, or may become known."""
        newest = self._directory.newest(status)
        if newest.known_since_s <= connection.opened_s:
            return True
        return self.identify(status, connection) is not None

    def wait_identified(
        self, status: UpstreamStatus, connection: UpstreamConnection, timeout_s: float
    ) -> UpstreamStatus | None:
        """Identify the incarnation, by asking it if need be.

        :param status: the incarnation that the connection was opened to.
        :param timeout_s: how long that may take.
        :returns: ``None`` if it stays unknown.
        """
        end_s = self._clock() + timeout_s
        while True:
            found = self.identify(status, connection)
            left_s = end_s - self._clock()
            if found is not None or left_s <= 0:
                return found
            asking = self.ask(status, connection)
            if asking is None:
                return None
            asking.join(left_s)

    def ask(
        self, status: UpstreamStatus, connection: UpstreamConnection
    ) -> gevent.Greenlet | None:
        """Ask which incarnation a connection leads to, unless its answer is awaited.

        :returns: what waits for the answer; ``None`` if no answer could tell.
        """
        newest = self._directory.newest(status)
        if newest.known_since_s > connection.opened_s or connection.is_relayed:
            return None
        upstream_id = newest.upstream.upstream_id
        asking = self._asking.get(upstream_id)
        if asking is None:
            asking = self._asking[upstream_id] = gevent.spawn(self._ask, newest)
        return asking

    def note_answered(
        self, status: UpstreamStatus, connection: UpstreamConnection
    ) -> None:
        """Record that a request on a connection was answered.

        What answered was alive when the request was sent. The time of the bytes tells
        nothing: they may have waited in the system of an upstream that has ended since,
        or here, until a slow caller took what came before them.
        """
        if connection.incarnation_id == status.upstream.incarnation_id:
            _note_alive(status, connection.sent_s)

    def _ask(self, status: UpstreamStatus) -> None:
        upstream = status.upstream
        asked_s = self._clock()
        try:
            report = self._client.report(upstream)
            if report is not None and report.born_ms == upstream.born_ms:
                # Also if it is no longer listed.
                _note_alive(status, asked_s)
                return
            _log.bind(
                upstream=upstream.incarnation_id,
                born_ms=report.born_ms if report else None,
            ).info("Upstream not identified.")
            gevent.sleep(ASK_PAUSE_S)
        finally:
            del self._asking[upstream.upstream_id]


def _note_alive(status: UpstreamStatus, at_s: float) -> None:
    status.alive_s = max(status.alive_s, at_s)


def _is_process(status: UpstreamStatus, connection: UpstreamConnection) -> bool:
    """Return whether a connection leads to an incarnation."""
    incarnation_id = status.upstream.incarnation_id
    is_within = status.known_since_s <= connection.opened_s <= status.alive_s
    if is_within and not connection.incarnation_id:
        connection.incarnation_id = incarnation_id
    return connection.incarnation_id == incarnation_id
