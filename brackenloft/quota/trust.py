"""How far the counter is to be believed now: one state, and what each moves on. Pure; times in milliseconds.

  starting    nothing has been read yet, or only just: the even floor
  fresh       the last report was answered a moment ago, all is as it was: what the others leave
  late        answers take long: what was left by the last one
  silent      none has come for long, or it can't be reached: each keeps what it used, and no more
  split       it answers, but some gateways have stopped counting there: as silent, for who might use those
  suspicious  a figure fell, or was none of ours: as silent
  replaced    it is another one, or was emptied: as silent, until all have told it again

The worst that holds is the state. It is left for a better one only after ``CALM_MS`` without trouble: guards
against slices that jump up and down with a link that comes and goes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import inf

from brackenloft.quota.model import Run

LATE_MS = 1000.0  # four reports: the last reading is no news any more
SILENT_MS = 3000.0  # as long as a gateway's own death takes to be noticed by its front
SPLIT_MS = 2000.0  # a gateway that reports each 250 ms, even if three of its round trips fail
COUNTS_MS = 600.0  # two reports: a run that has not counted for longer may be cut off, or have ended
CALM_MS = 1500.0  # six reports without trouble: every gateway has told its figures again
GONE_MS = 60_000.0  # a gateway that counts no more for so long has left: its customers' fronts have too
MOST_RUNS = 4096  # that are remembered


class State(StrEnum):
    """How far the counter is believed; the worst first."""

    STARTING = "starting"
    SILENT = "silent"
    REPLACED = "replaced"
    SUSPICIOUS = "suspicious"
    SPLIT = "split"
    LATE = "late"
    FRESH = "fresh"


RANK = {state: rank for rank, state in enumerate(State)}


@dataclass(slots=True)
class Beat:
    """How far a run has counted, and since when it stands there."""

    number: int
    at: float


class Trust:
    """Hears what becomes of reports; ``state`` tells what to make of it."""

    def __init__(self, own: Run, gateways: int) -> None:
        self.own, self.gateways, self.state = own, gateways, State.STARTING
        self.since = inf  # the first answer
        self.epoch = ""
        self.answered = -inf  # when the last good answer came
        self.asked = -inf  # when the report that it answers was made
        self.trouble: dict[State, float] = {}  # when each was seen last
        self.beats: dict[Run, Beat] = {}

    # ---- What is heard

    def answer(self, now: float, asked: float, epoch: str, beats: dict[Run, int]) -> None:
        """A report was answered as it should be."""
        if self.answered == -inf:
            self.since = now
            self.trouble[State.STARTING] = now  # all who start at once see nobody's use yet
        self.answered, self.asked = now, asked
        if self.epoch and epoch != self.epoch:
            self.trouble[State.REPLACED] = now
            for beat in self.beats.values():
                beat.at = now  # they have not had the time to count there yet
        self.epoch = epoch
        for run, number in beats.items():
            self._beat(run, number, now)

    def _beat(self, run: Run, number: int, now: float) -> None:
        beat = self.beats.get(run)
        if beat is None:
            if len(self.beats) < MOST_RUNS:
                self.beats[run] = Beat(number, now)
        elif number > beat.number:
            beat.number, beat.at = number, now

    def doubt(self, now: float) -> None:
        """A figure fell, or is none that a gateway writes."""
        self.trouble[State.SUSPICIOUS] = now

    # ---- What follows

    def known(self, now: float) -> frozenset[Run]:
        """Runs of which it is known what they do: those that have counted just now, and those that are over.

        A run is over once another of its gateway counts, as ours does.
        """
        counts = {run for run, beat in self.beats.items() if now - beat.at <= COUNTS_MS}
        again = {run.gateway for run in counts} | {self.own.gateway}
        return frozenset(run for run in self.beats if run in counts or run.gateway in again)

    def unseen(self, now: float) -> frozenset[int]:
        """Gateways of which every run that counted of late has stopped, or that never counted; not ourselves.

        Of a gateway that was started again the new run counts. One that stopped for ``GONE_MS`` has left, and
        one that has not come within that time is not there. Guards against a start within a split, where who
        is on the other side was never seen.
        """
        last: dict[int, float] = {}
        for run, beat in list(self.beats.items()):
            if now - beat.at > GONE_MS:
                del self.beats[run]
            elif run.gateway != self.own.gateway:
                last[run.gateway] = max(last.get(run.gateway, -inf), beat.at)
        missing = {gateway for gateway, at in last.items() if now - at > SPLIT_MS}
        if now - self.since <= GONE_MS:
            missing.update(set(range(self.gateways)) - last.keys() - {self.own.gateway})
        return frozenset(missing)

    def turn(self, now: float, unseen: frozenset[int]) -> bool:
        """Take up the state of this moment; whether it is another one."""
        if unseen and now - self.answered <= SILENT_MS:
            self.trouble[State.SPLIT] = now
        if LATE_MS < now - self.asked <= SILENT_MS:
            self.trouble[State.LATE] = now
        if now - self.answered > SILENT_MS and self.answered > -inf:
            self.trouble[State.SILENT] = now
        self.trouble = {state: at for state, at in self.trouble.items() if now - at < CALM_MS}
        before, self.state = self.state, self._now()
        return self.state is not before

    def _now(self) -> State:
        if self.answered == -inf:
            return State.STARTING
        return min(self.trouble, key=RANK.__getitem__, default=State.FRESH)
