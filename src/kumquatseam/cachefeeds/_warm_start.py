"""Learning what holders keep when this process starts."""

from collections.abc import Callable

import gevent

from kumquatseam.cachefeeds._feeds import CacheFeeds
from kumquatseam.cachefeeds._messages import IndexAnswer, IndexQuestion
from kumquatseam.logs import part_logger
from kumquatseam.loops import BackgroundTask
from kumquatseam.peers import Questions

_log = part_logger("cache")

#: seconds after the start at which others are asked, until one knows something.
#: The first is when they have been found in the log; where all have just
#: started, those that ask the engines tell the others within the last.
ASK_AT_S = (0.3, 0.8, 2.0)


class WarmStart(BackgroundTask):
    """Asks another instance for its index, so that no start is cold.

    :param feeds: takes the answer in.
    :param questions: asks the others.
    :param name: this instance.
    :param is_needed: whether this instance needs to know of every holder.
    """

    def __init__(
        self,
        feeds: CacheFeeds,
        questions: Questions,
        name: str,
        is_needed: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__()
        self._feeds = feeds
        self._questions = questions
        self._name = name
        self._is_needed = is_needed
        questions.on_question(IndexQuestion, feeds.answer)

    def _run(self) -> None:
        waited_s = 0.0
        for at_s in ASK_AT_S:
            gevent.sleep(at_s - waited_s)
            waited_s = at_s
            if not self._is_needed():
                continue
            answer = self._questions.ask_any(
                IndexQuestion(self._name),
                lambda found: isinstance(found, IndexAnswer) and bool(found.holders),
            )
            if answer is not None:
                self._feeds.take_answer(answer)
                return
        _log.info("No other instance knows what holders keep.")
