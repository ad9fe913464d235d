"""Following keyed topics of the log service together with the other instances.

One instance reads a topic and broadcasts the changes. Every instance keeps a full
copy, and reads the log itself if it receives no updates, missed one or cannot tell
how old its copy is. An instance that cannot reach the log fetches a copy from a
peer.

- :class:`TopicFeeds` follows topics and answers queries of other instances.
- :class:`ReadPace` sets how often a topic is read.
- :class:`TopicUpdate` is the broadcast of changes.
"""

from kumquatseam.feeds._copy import TopicCopy
from kumquatseam.feeds._feeds import TopicFeeds
from kumquatseam.feeds._messages import (
    QUERY_KINDS,
    TopicQuery,
    TopicReply,
    TopicUpdate,
)
from kumquatseam.feeds._reader_election import ReaderElection
from kumquatseam.feeds._topic_follower import FeedPeers, ReadPace, TopicFollower

__all__ = [
    "QUERY_KINDS",
    "FeedPeers",
    "ReadPace",
    "ReaderElection",
    "TopicFollower",
    "TopicReply",
    "TopicCopy",
    "TopicFeeds",
    "TopicQuery",
    "TopicUpdate",
]
