"""One customer's use, here and at the other gateways, and the share of its quota that may be used here. Pure.

All sums are in units, times in milliseconds of one clock that never goes back; other gateways' clocks are
never compared with it. What others have let in is a sum that only grows, so that what is new in a reading is
a difference: it counts once, however often, late or after how long a split it is read.

The account is the excess of all gateways together: it grows by each unit, ours at once and theirs when read,
and drains at the whole rate. While it is above the burst no slice grows, so that what was let in too much
before the gateways heard of each other is not followed by more.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp, inf

from brackenloft.interface import Plan
from brackenloft.quota.model import THOUSANDTHS, Figures, Run
from brackenloft.quota.trust import State

RATE_MS = 1000.0  # time constant of a rate that is told: four reports; who moves is held back for as long
LEASE_MS = 10_000.0  # time constant of the rate that a lease goes by: chance moves it by a few percent
LEAST_MS = 1000.0  # of it, before a rate is made of it: a few requests at once are no rate
MARGIN = 0.5  # of what was used, that a lease allows beyond it: bursts within the quota, and chance
TURNED_AWAY = 0.25  # of what is asked here under a lease, refused: it asks for more than it used
IDLE_MS = 10_000.0  # without a request here: it has no share that grows, and is not asked for
KEPT_MS = 60_000.0  # what a run told is remembered for so long after it was read last
BUCKETS = 8.0  # bursts, doubled for the worthier and held to twice that: none lets more in at once
PLAUSIBLE = 2.0  # times the rate: a gateway's sum that grows faster was not written by a gateway


@dataclass(slots=True)
class Seen:
    """What another run has told last."""

    units: float
    rate: float  # a second
    at: float  # when it was read last


class Account:
    """One customer at this gateway, as far as the counter goes."""

    __slots__ = (
        "plan",
        "gateways",
        "width",
        "largest",
        "own",
        "told",
        "rate",
        "rate_at",
        "lease",
        "used_at",
        "excess",
        "excess_at",
        "since",
        "others",
        "read_at",
        "began",
        "came",
        "turned",
        "kept",
        "kept_at",
        "high",
        "given",
        "given_until",
    )

    def __init__(self, plan: Plan, gateways: tuple[int, ...], now: float) -> None:
        self.plan, self.gateways, self.width = plan, gateways, len(gateways)
        self.largest = 0.0
        self.own = 0.0  # let in since the start
        self.high = 0  # the sum that was told last: it never falls
        self.told = Figures(0, 0)  # what the counter has, as far as is known
        self.rate = self.lease = 0.0  # let in a second, over a shorter and a longer time
        self.came = 0.0  # let in and not in the rates yet
        self.turned = 0.0  # refused a second, over the longer time
        self.rate_at = self.used_at = self.began = now
        self.excess, self.excess_at = 0.0, now  # of all, as of the last reading
        self.since = 0.0  # let in here since then
        self.others: dict[Run, Seen] = {}
        self.read_at = -inf
        self.kept_at = -inf  # when the counter was told last to keep it
        self.kept = 0.0  # the share to keep while nothing is known
        self.given, self.given_until = 0.0, -inf  # the share that the decisions were told last

    # ---- Our own use

    def uses(self, units: float, now: float) -> None:
        """Units were let in, or given back if below nought."""
        self.own += units
        self.since += units
        self.came += units
        if units > 0.0:
            self.used_at = now
            if units > self.largest:
                self.largest = units

    def refused(self, units: float, now: float) -> None:
        """Units were asked for here beyond the share."""
        self._fade(now)
        self.turned += units * THOUSANDTHS / LEASE_MS
        self.used_at = now

    def _fade(self, now: float) -> None:
        """The rates as of now. What has come since the last look counts as coming now: a report late."""
        since, self.rate_at = now - self.rate_at, now
        self.rate *= exp(-since / RATE_MS)
        self.lease *= exp(-since / LEASE_MS)
        self.turned *= exp(-since / LEASE_MS)
        if self.came:
            self.rate = max(0.0, self.rate + self.came * THOUSANDTHS / RATE_MS)
            self.lease = max(0.0, self.lease + self.came * THOUSANDTHS / LEASE_MS)
            self.came = 0.0

    def idle(self, now: float) -> bool:
        """Whether it has asked for nothing here for long."""
        return now - self.used_at > IDLE_MS

    def figures(self, now: float) -> Figures:
        """What is to be told."""
        self._fade(now)
        self.high = max(self.high, int(self.own * THOUSANDTHS))  # what was given back is not taken from it
        return Figures(self.high, int(self.rate * THOUSANDTHS))

    def owes(self) -> bool:
        """Whether the counter does not have all of our use."""
        return max(self.high, int(self.own * THOUSANDTHS)) > self.told.units

    def _usual(self, now: float) -> float:
        """What is let in a second, over the longer time, or since it began."""
        return self.lease / (1.0 - exp(-max(now - self.began, LEAST_MS) / LEASE_MS))

    # ---- A reading

    def read(
        self,
        figures: Mapping[Run, Figures],
        own: Run,
        written: Figures,
        known: frozenset[Run],
        now: float,
    ) -> bool:
        """What the counter holds after our report of it. False if it can't be as it should.

        A figure that fell is not taken; nor is one that grew faster than a gateway could have let in. A run
        that is missing keeps what it told before. Rates fade of those alone that are ``known``: guards
        against taking who is cut off for who has stopped, and growing into the part that it still uses.
        """
        sound = True
        first, gap = self.read_at == -inf, now - self.read_at
        came = 0.0
        for run, told in figures.items():
            if run == own:
                sound &= told.units >= written.units
                continue
            seen, units = self.others.get(run), told.units / THOUSANDTHS
            if seen is None:  # of one that was there before we asked, the past is not ours to count
                came += 0.0 if first else min(units, self._most(gap))
                self.others[run] = Seen(units, min(told.rate / THOUSANDTHS, self._fastest()), now)
                continue
            more = units - seen.units
            if more < 0.0 or more > self._most(gap):
                sound = False
                continue
            came += more
            self._follow(seen, more, told.rate / THOUSANDTHS, gap if run in known else 0.0)
            seen.units, seen.at = units, now
        sound &= own in figures
        self.others = {run: seen for run, seen in self.others.items() if now - seen.at <= KEPT_MS}
        drained = self.plan.rate * (now - self.excess_at) / THOUSANDTHS
        self.excess = max(0.0, self.excess + self.since + came - drained)
        self.excess_at, self.since, self.read_at = now, 0.0, now
        self.told = written if sound else Figures(0, 0)
        return sound

    def _fastest(self) -> float:
        """Units a second that one gateway may let in at most."""
        return PLAUSIBLE * self.plan.rate

    def _most(self, gap_ms: float) -> float:
        """Units that one gateway may have let in within so long."""
        return self._fastest() * gap_ms / THOUSANDTHS + BUCKETS * max(self.plan.burst, self.largest)

    def _follow(self, seen: Seen, more: float, told: float, gap_ms: float) -> None:
        """The rate of another run: as told where it counts on, else by what has come."""
        if more > 0.0:
            seen.rate = min(told, self._fastest())
        else:
            seen.rate *= exp(-gap_ms / RATE_MS)

    # ---- What follows

    def total(self, now: float) -> float:
        """The excess of all gateways together, as far as is known."""
        drained = self.plan.rate * (now - self.excess_at) / THOUSANDTHS
        return max(0.0, self.excess + self.since - drained)

    def beyond(self, now: float) -> bool:
        """Whether more was let in, all in all, than the plan has."""
        return self.total(now) > max(self.plan.burst, self.largest)

    def share(self, now: float, state: State, unseen: frozenset[int]) -> float:
        """The share of the quota that may be used here, the even floor at least.

        While nothing is known of the others, who was within its quota before may go on, at whichever gateway
        of its set it comes to now: as much as it used at all of them, and a margin. Who was over it, or is
        turned away often under such a lease, has the floor: it asks for more than it used. Guards against
        shutting out who moves within a split. Harm: who turns abusive just then, at all gateways at once, has
        that much at each until it is noticed.
        """
        floor = 1.0 / self.width
        if state is State.STARTING or self.idle(now):
            return floor
        if state is State.FRESH or (state is State.SPLIT and not unseen.intersection(self.gateways)):
            others = sum(seen.rate for seen in self.others.values()) / self.plan.rate
            left = floor if self.read_at == -inf or self.beyond(now) else max(floor, min(1.0, 1.0 - others))
            self._fade(now)
            used = others + self._usual(now) / self.plan.rate
            within = used <= 1.0 and not self.beyond(now)
            self.kept = max(floor, min(1.0, (1.0 + MARGIN) * used)) if within else floor
            return left
        if state is State.LATE:
            return max(floor, self.given if now < self.given_until else self.kept)
        self._fade(now)
        if self.turned > TURNED_AWAY * (self.turned + self.lease):
            self.kept = floor
        return max(floor, self.kept)
