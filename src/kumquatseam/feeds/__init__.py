"""Following topics of the log together with the other instances.

A few instances read a topic and tell the others what is new; everyone keeps a
whole copy and reads the log itself when it hears nothing, missed something or
cannot tell how old its copy is. An instance that cannot reach the log at all
takes a copy from another one.

- :class:`TopicFeeds` follows topics and answers other instances.
- :class:`ReadPace` says how often a topic is read.
- :class:`TopicUpdate` is what instances tell each other.
"""

from kumquatseam.feeds._copy import TopicCopy
from kumquatseam.feeds._feeds import TopicFeeds
from kumquatseam.feeds._messages import (
    QUERY_KINDS,
    TopicAnswer,
    TopicQuestion,
    TopicUpdate,
)
from kumquatseam.feeds._reader_choice import ReaderChoice
from kumquatseam.feeds._shared_watch import FeedPeers, ReadPace, SharedWatch

__all__ = [
    "QUERY_KINDS",
    "FeedPeers",
    "ReadPace",
    "ReaderChoice",
    "SharedWatch",
    "TopicAnswer",
    "TopicCopy",
    "TopicFeeds",
    "TopicQuestion",
    "TopicUpdate",
]
