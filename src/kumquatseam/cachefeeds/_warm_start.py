"""Loading the index of cache contents from a peer at start."""

from collections.abc import Callable

import gevent

from kumquatseam.cachefeeds._feeds import CacheFeeds
from kumquatseam.cachefeeds._messages import IndexQuery, IndexReply
from kumquatseam.logs import part_logger
from kumquatseam.loops import BackgroundTask
from kumquatseam.peers import PeerQueries

_log = part_logger("cache")

#: times after the start at which peers are queried, until one has an index. At the
#: first, the list of peers has been read from the log; if all instances have just
#: started, those that poll the engines broadcast their contents before the last.
QUERY_AT_S = (0.3, 0.8, 2.0)


class WarmStart(BackgroundTask):
    """Queries other instances for their index, to avoid a cold start.

    :param feeds: applies the reply.
    :param queries: sends queries to other instances.
    :param name: this instance.
    :param is_needed: whether this instance needs the contents of all holders.
    """

    def __init__(
        self,
        feeds: CacheFeeds,
        queries: PeerQueries,
        name: str,
        is_needed: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__()
        self._feeds = feeds
        self._queries = queries
        self._name = name
        self._is_needed = is_needed
        queries.on_query(IndexQuery, feeds.answer)

    def _run(self) -> None:
        waited_s = 0.0
        for at_s in QUERY_AT_S:
            gevent.sleep(at_s - waited_s)
            waited_s = at_s
            if not self._is_needed():
                continue
            reply = self._queries.query_any(
                IndexQuery(self._name),
                lambda found: isinstance(found, IndexReply) and bool(found.holders),
            )
            if reply is not None:
                self._feeds.apply_reply(reply)
                return
        _log.info("No other instance has an index of cache contents.")
