"""Textbook policies on the same events and actions, to be set beside ours. Not part of the product's path.

They share one simple frame: admit or refuse at once, one node by the policy's choice, one more attempt
where the first has plainly not run, an answer before the deadline. None holds, parks, learns or looks at a
load report.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from brackenloft import interface as api

EARLY_MS = 3.0  # before the client's deadline of the final answer
NEVER_RAN = (api.Status.FULL, api.Status.CONNECT_FAILED, api.Status.NOT_SENT)
WINDOW_MS = 1000.0  # of the shared counter
MOST_ATTEMPTS = 2


@dataclass(slots=True, eq=False)
class Hand:
    """A request in hand."""

    request: api.Request
    effect: api.Effect
    deadline: float
    attempts: int = 0
    may_have_run: bool = False


@dataclass(eq=False)
class Bucket:
    """A token bucket."""

    rate: float
    burst: float
    left: float
    at: float

    def take(self, units: float, now: float) -> bool:
        """Take them if they are there."""
        self.left = min(self.burst, self.left + self.rate * (now - self.at) / 1000.0)
        self.at = now
        if self.left < units:
            return False
        self.left -= units
        return True


@dataclass(eq=False)
class Shared:
    """A counter that all gateways of a run see at once and at no cost: better than any real one."""

    windows: dict[tuple[str, str, int], float] = field(default_factory=dict)


class LetAll:
    """Everything in, nodes in turn."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.classes = {kind.name: kind for kind in settings.classes}
        self.plans = {plan.name: plan for plan in settings.plans}
        self.ready: dict[int, api.ServerEntry] = {}
        self.out: dict[int, int] = {}
        self.hands: dict[str, Hand] = {}
        self.timers: dict[int, str] = {}
        self.turn = self.tokens = 0
        self.now = 0.0

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Decide on one event."""
        self.now = now_ms
        if isinstance(event, api.Request):
            return self._request(event)
        if isinstance(event, api.Outcome):
            return self._outcome(event)
        if isinstance(event, api.ServerList):
            self._list(event)
        elif isinstance(event, api.ClientGone):
            self.hands.pop(event.request_id, None)
        elif isinstance(event, api.TimerFired):
            hand = self.hands.get(self.timers.pop(event.token, ""))
            return self._end(hand) if hand else []
        return []

    def admits(self, request: api.Request) -> bool:
        """Whether it is let in."""
        return True

    def choose(self, ready: list[int]) -> int:
        """A node."""
        self.turn += 1
        return ready[self.turn % len(ready)]

    def _list(self, event: api.ServerList) -> None:
        if event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            self.ready.clear()
        for entry in event.entries:
            if entry.state is api.ServerState.READY:
                self.ready[entry.server] = entry
            else:
                self.ready.pop(entry.server, None)

    def _request(self, request: api.Request) -> list[api.Action]:
        if not self.ready or not self.admits(request):
            return [api.Refuse(request.request_id, over_quota=bool(self.ready))]
        hand = Hand(request, self.classes[request.class_name].effect, self.now + request.patience_ms)
        self.hands[request.request_id] = hand
        self.tokens += 1
        self.timers[self.tokens] = request.request_id
        timer = api.SetTimer(self.tokens, max(0.0, request.patience_ms - EARLY_MS), request.request_id)
        return [timer, *self._attempt(hand)]

    def _attempt(self, hand: Hand) -> list[api.Action]:
        hand.attempts += 1
        server = self.choose(list(self.ready))
        self.out[server] = self.out.get(server, 0) + 1
        return [api.Send(hand.request.request_id, server)]

    def _outcome(self, event: api.Outcome) -> list[api.Action]:
        self.out[event.server] = max(0, self.out.get(event.server, 0) - 1)
        hand = self.hands.get(event.request_id)
        if hand is None:
            return []
        if event.closed:
            del self.hands[event.request_id]
            return []
        hand.may_have_run |= event.status not in NEVER_RAN
        if (
            not hand.may_have_run
            and hand.attempts < MOST_ATTEMPTS
            and self.ready
            and event.status is not api.Status.NOT_SENT
        ):
            return self._attempt(hand)
        return self._end(hand)

    def _end(self, hand: Hand) -> list[api.Action]:
        name = hand.request.request_id
        if self.hands.pop(name, None) is None:
            return []
        out = hand.attempts > 0 and not hand.may_have_run and self.now >= hand.deadline - EARLY_MS
        harmless = hand.effect is api.Effect.SAFE or not (hand.may_have_run or out)
        return [api.Refuse(name) if harmless else api.Fail(name)]


class EvenBuckets(LetAll):
    """A token bucket of the even part of the quota for each customer; nodes in turn."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.buckets: dict[tuple[str, str], Bucket] = {}

    def admits(self, request: api.Request) -> bool:
        """While its bucket holds the units."""
        plan, width = self.plans[request.plan], request.width
        burst = max(plan.burst / width, request.units)
        bucket = self.buckets.setdefault(
            (request.plan, request.customer), Bucket(plan.rate / width, burst, burst, self.now)
        )
        bucket.burst = max(bucket.burst, burst)
        return bucket.take(request.units, self.now)


class TwoChoices(EvenBuckets):
    """Even token buckets; of two nodes drawn at random the one with less out from here."""

    def choose(self, ready: list[int]) -> int:
        """The less busy of two."""
        pair = self.random.sample(ready, 2) if len(ready) > 1 else ready
        return min(pair, key=lambda server: self.out.get(server, 0))


class FixedWindow(TwoChoices):
    """A fixed window of a second by a counter that all share; of two nodes the one with less out."""

    shared = Shared()

    def admits(self, request: api.Request) -> bool:
        """While the window of this second, and what was saved of the burst, holds the units."""
        plan = self.plans[request.plan]
        key = (request.plan, request.customer, int(self.now // WINDOW_MS))
        used = self.shared.windows.get(key, 0.0)
        if used + request.units > max(plan.rate * WINDOW_MS / 1000.0, request.units):
            return False
        self.shared.windows[key] = used + request.units
        return True
