"""The dependencies of the quarantine."""

import random
import time
from collections.abc import Callable

import attrs
import gevent.event

from kumquatseam.logservice import LogService
from kumquatseam.peers import DatagramLink, RendezvousOrder
from kumquatseam.quarantine._probe import Liveness, probe_liveness
from kumquatseam.quarantine._publisher import NoticeChannel
from kumquatseam.quarantine._runs import RunUpstream


@attrs.frozen
class QuarantineParts:
    """Dependencies of the quarantine.

    :param name: name of this instance.
    :param order: returns the candidate owners of a request, by preference.
    :param link: sends and receives messages between two instances.
    :param channel: broadcasts to all instances.
    :param log: stores the suspected requests; ``None`` if there is no log service.
    :param clock: monotonic clock in seconds.
    :param wait: waits for an event, with a timeout in seconds.
    :param probe: returns whether a process listens at an address.
    :param call_later: calls a function after a delay in seconds.
    :param find_upstream: returns an upstream by its incarnation id, if it is listed.
    :param count_instances: returns the number of instances.
    :param draw_uniform: returns a random number between two bounds.
    """

    name: str
    order: RendezvousOrder
    link: DatagramLink
    channel: NoticeChannel
    log: LogService | None
    clock: Callable[[], float] = time.monotonic
    wait: Callable[[gevent.event.Event, float], object] = gevent.event.Event.wait
    probe: Callable[[str], Liveness] = probe_liveness
    call_later: Callable[..., object] = gevent.spawn_later
    find_upstream: Callable[[str], RunUpstream | None] = lambda incarnation_id: None
    count_instances: Callable[[], int] = lambda: 1
    draw_uniform: Callable[[float, float], float] = random.uniform
