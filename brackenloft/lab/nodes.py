"""A node: places that work, a queue before them, a cold start, and how it fails. Virtual time, milliseconds.

Work is served first come first served by ``places`` workers; a worker takes ``work / speed`` while the node
is warm. A started process does ``cold_share`` of that at first and all of it after ``warm_up_ms``, evenly.
It falls over when the work sent to it within any ``tip_window_ms`` passes ``tip_multiple`` times what it
could do then. Keyed repeats within ``key_memory_ms`` are answered with the first one's effect. A cancelled
attempt that waits is dropped; one that runs stops or goes on, by the settings.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from brackenloft.interface import KeyScope, Status
from brackenloft.lab.spec import Class, Nodes

MOST_KEYS = 10_000  # that a node remembers: more than it works off in its memory of some seconds
Done = Callable[["Job", Status], None]


@dataclass(slots=True, eq=False)
class Job:
    """An attempt as a node sees it."""

    name: str
    number: int
    class_name: str
    key: str  # of a keyed request, empty for others
    kind: Class
    work_ms: float
    done: Done
    running: bool = False
    dropped: bool = False
    effects: list[float] = field(default_factory=list)  # when its effect happened


class Node:
    """One node of the world. ``later(delay, call, argument)`` sets an alarm of the world's."""

    def __init__(
        self,
        number: int,
        spec: Nodes,
        speed: float,
        now: Callable[[], float],
        later: Callable[[float, Callable[[Job], None], Job], None],
    ) -> None:
        self.number, self.spec, self.speed = number, spec, speed
        self.now, self.later = now, later
        self.zone = number % spec.zones
        self.up, self.silent, self.fallen = True, False, False
        self.slowed, self.started_ms = 1.0, 0.0  # 0: long ago
        self.error_share: dict[str, float] = {}
        self.waiting: deque[Job] = deque()
        self.running: dict[Job, None] = {}
        self.memories: dict[KeyScope, OrderedDict[str, float]] = {}  # of keys; each shared by its group
        self.recent: deque[tuple[float, float]] = deque()  # work sent to it of late
        self.recent_work = 0.0
        self.report = (0.0, 0.0)
        self.reported_at = -1e9
        self.epoch = 0  # of its process

    # ---- Life

    def crash(self) -> list[Job]:
        """The process dies; what it had is lost."""
        lost = [*self.running, *self.waiting]
        self.up, self.epoch = False, self.epoch + 1
        self.running.clear()
        self.waiting.clear()
        for job in lost:
            job.dropped = True
        return lost

    def start(self) -> None:
        """A new process, cold."""
        self.up, self.silent, self.fallen, self.slowed = True, False, False, 1.0
        self.started_ms = self.now()
        self.recent.clear()
        self.recent_work = 0.0

    def warmth(self, at: float) -> float:
        """The share of its capacity that it has."""
        age = at - self.started_ms
        if not self.started_ms or age >= self.spec.warm_up_ms:
            return 1.0
        return self.spec.cold_share + (1.0 - self.spec.cold_share) * age / self.spec.warm_up_ms

    # ---- Work

    def take(self, job: Job, error: float) -> Status | None:
        """A command's last byte has come; the outcome if it is known at once. ``error``: a draw from 0
        to 1.
        """
        if self.silent:
            return None
        self._count(job.work_ms)
        if self.fallen:
            return Status.RESET
        if error < self.error_share.get(job.class_name, 0.0):
            return Status.ERROR
        if len(self.running) < self.spec.places:
            self._run(job)
        elif len(self.waiting) < self.spec.queue:
            self.waiting.append(job)
        else:
            return Status.FULL
        return None

    def _count(self, work_ms: float) -> None:
        """Guards nothing: it is the rule on cold servers, in the world's own terms."""
        now, spec = self.now(), self.spec
        self.recent.append((now, work_ms))
        self.recent_work += work_ms
        while self.recent[0][0] < now - spec.tip_window_ms:
            self.recent_work -= self.recent.popleft()[1]
        could = self.warmth(now) * spec.places * self.speed * spec.tip_window_ms
        if self.started_ms and self.warmth(now) < 1.0 and self.recent_work > spec.tip_multiple * could:
            self.fallen = True

    def _run(self, job: Job) -> None:
        job.running = True
        self.running[job] = None
        pace = self.speed * self.warmth(self.now()) / self.slowed
        self.later(job.work_ms / pace, self._finish, job)

    def _finish(self, job: Job) -> None:
        if job not in self.running:
            return  # its process died, or it was stopped
        del self.running[job]
        self._effect(job)
        while self.waiting and len(self.running) < self.spec.places:
            self._run(self.waiting.popleft())
        if not self.silent:
            job.done(job, Status.OK)

    def _effect(self, job: Job) -> None:
        now = self.now()
        if job.key:
            keys = self.memories[job.kind.key_scope]
            before = keys.get(job.key)
            if before is not None and now - before < job.kind.key_memory_ms:
                return  # a repeat: no second effect
            keys[job.key] = now
            if len(keys) > MOST_KEYS:
                keys.popitem(last=False)
        job.effects.append(now)

    def cancel(self, job: Job) -> None:
        """The caller has given it up."""
        if job.running:
            if self.spec.stops_cancelled and job in self.running:
                del self.running[job]
                while self.waiting and len(self.running) < self.spec.places:
                    self._run(self.waiting.popleft())
        elif not job.dropped:
            job.dropped = True
            if job in self.waiting:
                self.waiting.remove(job)

    def load(self) -> tuple[float, float]:
        """Utilisation and queue, as its reports tell them: refreshed now and then."""
        now = self.now()
        if now - self.reported_at >= self.spec.report_ms:
            self.report = (len(self.running) / self.spec.places, float(len(self.waiting)))
            self.reported_at = now
        return self.report
