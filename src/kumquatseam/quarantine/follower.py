"""Updates of the list of suspected requests, for programs without ``feeds``."""

import gevent

from kumquatseam.feeds import TopicCopy
from kumquatseam.logs import part_logger
from kumquatseam.logservice import KeyedReader, LogService, LogServiceError
from kumquatseam.loops import BackgroundTask
from kumquatseam.quarantine._list import SuspectList
from kumquatseam.quarantine._publisher import SUSPECTS_TOPIC

_log = part_logger("quarantine")

#: pause before a failed read is retried.
RETRY_PAUSE_S = 0.5


class SuspectsFollower(BackgroundTask):
    """Applies the records of the log service to a list of suspected requests.

    Use it in a program that reads its topics directly from the log service. Instances
    that share their reads follow the topic through ``feeds.TopicFeeds`` instead.

    :param log: the log service.
    :param suspects: the list to update.
    :param wait_s: how long one read waits for new records.
    """

    def __init__(self, log: LogService, suspects: SuspectList, wait_s: float) -> None:
        super().__init__()
        self._copy = TopicCopy(suspects)
        self._reader = KeyedReader(log, SUSPECTS_TOPIC)
        self._wait_s = wait_s

    def _run(self) -> None:
        while True:
            try:
                self._copy.apply(
                    self._reader.read(self._copy.next_offset, self._wait_s)
                )
            except LogServiceError as error:
                _log.bind(error=str(error)).warning(
                    "List of suspects not read; retrying."
                )
                gevent.sleep(RETRY_PAUSE_S)
