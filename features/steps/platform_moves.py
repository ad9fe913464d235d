"""Moves of runs at the stand-in replica, with every answer that the protocol allows."""

import enum
import threading
import time

import attrs

#: how long a copy stays at its destination unused.
HANDLE_S = 3.0
#: how long a slow move takes.
LATE_S = 1.2
#: how long a run takes to notice that it is to stop.
STOP_TIMEOUT_S = 2.0


class MoveAnswer(enum.Enum):
    """What the source of a move does and answers."""

    DONE = "it is done"
    #: with ``last`` the run has stopped, and the source keeps its memory.
    NO_ROOM = "503 with a handle"
    IN_PROGRESS = "409"
    NO_SUCH_RUN = "404, though the run goes on"
    LOST = "it is done, and the answer is lost"
    LATE = "it is done 1.2 seconds late"
    #: the copy is dropped before it is used; the source still has the memory.
    EXPIRED = "it is done, and the copy expires"
    #: done, but the destination turns the next request of the run away.
    REFUSED = "it is done, and the destination refuses the run"
    #: done, but connections to the destination fail for a moment.
    RESET = "it is done, and the destination resets the connection unread"


@attrs.frozen
class SlowCopy:
    """The source stops the run at once, and the rest of its memory waits for a link.

    Until it is copied, neither engine goes on with the run.

    :param for_s: how long it waits.
    """

    for_s: float


@attrs.define(eq=False)
class ReplicaRun:
    """A stream that a replica runs, or ran until it was stopped.

    :param request_id: its request.
    :param events: events generated so far.
    :param is_stopping: whether it was told to stop.
    :param ended: set when it ends, by itself or not.
    """

    request_id: str
    events: int = 0
    is_stopping: bool = False
    ended: threading.Event = attrs.Factory(threading.Event)


@attrs.define(eq=False)
class RunMemory:
    """The memory of a run, at its source and perhaps at a destination.

    :param handle: its name in ``Kv-From``; can be used once.
    :param run: the run.
    :param source: the replica that runs it.
    :param destination: the replica with a copy, if any.
    :param refusals: how often the destination still turns its request away.
    :param resets: how often it still resets the connection unread.
    :param ready_s: until when neither engine goes on.
    """

    handle: str
    run: ReplicaRun
    source: object
    destination: object = None
    is_used: bool = False
    refusals: int = 0
    resets: int = 0
    expires_s: float = 0.0
    ready_s: float = 0.0


class ReplicaMoves:
    """The runs of one replica, and what other replicas copied to it.

    :param replica: the replica (``StandinReplica``).
    """

    def __init__(self, replica):
        self._replica = replica
        self._lock = threading.Lock()
        self.runs: dict[str, ReplicaRun] = {}
        #: memory of stopped runs and of copies, by ``Kv-From`` value.
        self.memories: dict[str, RunMemory] = {}
        self._moving: set[str] = set()
        #: returns what the next move does.
        self.next_answer = lambda order: MoveAnswer.DONE
        #: each order with what became of it.
        self.asked: list[tuple[dict, MoveAnswer]] = []
        self.freed: list[str] = []
        #: runs that went on here while their source was at work on them.
        self.doubles: list[str] = []

    def clear(self):
        """Forget everything, as a restart does."""
        self.runs.clear()
        self.memories.clear()

    @property
    def reserved(self) -> int:
        """Number of slots that unused copies take here."""
        now_s = time.monotonic()
        return sum(
            m.destination is self._replica and not m.is_used and now_s < m.expires_s
            for m in list(self.memories.values())
        )

    def begin(self, request_id) -> ReplicaRun:
        run = self.runs[request_id] = ReplicaRun(request_id)
        return run

    def resets(self, value) -> bool:
        """Return whether the connection of a request is reset unread."""
        memory = self.memories.get(value)
        if memory is None or memory.source is self._replica or not memory.resets:
            return False
        memory.resets -= 1
        return True

    def take(self, value) -> RunMemory | None:
        """Use the memory that ``Kv-From`` names.

        :returns: ``None`` if the request is not run.
        """
        with self._lock:
            memory = self.memories.get(value)
            if memory is None or memory.is_used:
                return None
            if time.monotonic() < memory.ready_s:
                return None
            is_here = memory.source is self._replica
            has_stopped = memory.run.is_stopping and memory.run.ended.is_set()
            if is_here and not has_stopped:
                return None
            if not is_here:
                if time.monotonic() >= memory.expires_s:
                    return None
                if memory.refusals:
                    memory.refusals -= 1
                    return None
            if not memory.run.ended.is_set():
                self.doubles.append(memory.run.request_id)
            memory.is_used = True
            return memory

    def free(self, handle) -> bool:
        """Drop a handle and the copy that it names."""
        value = f"{self._replica.listed_address}/{handle}"
        memory = self.memories.pop(value, None)
        if memory is None:
            return False
        self.freed.append(handle)
        # A later move makes another copy.
        memory.is_used = True
        return True

    def move(self, order) -> tuple[int, dict | None]:
        """Carry a move out; return the status and the answer.

        The answer is ``None`` if the connection is reset instead.
        """
        is_last, request_id = bool(order.get("last")), order["id"]
        run = self.runs.get(request_id)
        if run is None or run.ended.is_set():
            return 404, {}
        kind = self.next_answer(order)
        self.asked.append((order, kind))
        if kind is MoveAnswer.IN_PROGRESS or request_id in self._moving:
            return 409, {}
        if kind is MoveAnswer.NO_SUCH_RUN:
            return 404, {}
        self._moving.add(request_id)
        try:
            return self._copy(order, kind, run, is_last)
        finally:
            self._moving.discard(request_id)

    def _copy(self, order, kind, run, is_last):
        if is_last:
            run.is_stopping = True
            run.ended.wait(STOP_TIMEOUT_S)
            if isinstance(kind, SlowCopy):
                self._memory(run).ready_s = time.monotonic() + kind.for_s
                time.sleep(kind.for_s)
        destination = self._replica.find(order["to"])
        has_room = (
            kind is not MoveAnswer.NO_ROOM
            and destination is not None
            and destination.has_room_for_copy(self._memory(run).handle)
        )
        if kind is MoveAnswer.LATE:
            time.sleep(LATE_S)
        if not has_room:
            return 503, {"handle": self._memory(run).handle} if is_last else {}
        memory = self._memory(run)
        memory.destination = destination
        memory.expires_s = time.monotonic() + HANDLE_S
        if kind is MoveAnswer.EXPIRED:
            memory.expires_s = 0.0
        if is_last and kind is MoveAnswer.REFUSED:
            memory.refusals = 1
        if is_last and kind is MoveAnswer.RESET:
            memory.resets = 1
        destination.run_moves.memories[self._value(memory)] = memory
        if kind is MoveAnswer.LOST:
            return 200, None
        return 200, {"handle": memory.handle, "createRevision": run.events}

    def _memory(self, run) -> RunMemory:
        value = f"{self._replica.listed_address}/h-{run.request_id}"
        memory = self.memories.get(value)
        if memory is None or memory.run is not run:
            memory = RunMemory(f"h-{run.request_id}", run, self._replica)
            self.memories[value] = memory
        return memory

    def _value(self, memory) -> str:
        return f"{self._replica.listed_address}/{memory.handle}"
