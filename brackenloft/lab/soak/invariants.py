"""The rules of BRIEF 7 and of the standing test, checked on a run's history from outside. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import pairwise
from math import sqrt

from brackenloft.lab.soak.history import Answer, AttemptRecord, Effect, History, RequestRecord

LATE_S = 0.5  # an answer so long after its time is a lost request
GONE_S = 0.1  # an attempt that begins so long after its client has left is a lost request
TOLD_SLACK_S = 0.15  # by which the deadline told to a server may exceed what the client has left
HELD_UP_S = 0.15  # for which a process may be held up between reading its clock and writing
SOCKET_SLACK_S = 0.05  # by which each time limit is longer on sockets
DRAIN_GRACE_S = 1.0
SMALL_BUDGET = 30.0  # calls, under which a budget has the wider slack


@dataclass(frozen=True, slots=True)
class SlowStart:
    """What a server that has just started bears: ``tip_multiple`` of its capacity over ``window_s``."""

    calls_per_s: float
    cold_share: float
    warm_up_s: float
    tip_multiple: float
    window_s: float

    def budget(self, age_s: float) -> float:
        """Calls in a window that ends at this age, slack included."""
        share = self.cold_share + (1.0 - self.cold_share) * min(1.0, age_s / self.warm_up_s)
        calls = self.tip_multiple * self.calls_per_s * share * self.window_s
        if calls < SMALL_BUDGET:
            return calls + 3.0 * sqrt(calls) + 3.0
        return calls + 2.0 * sqrt(calls) + 2.0


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken, and where."""

    rule: str
    detail: str


def check(history: History, slow_start: SlowStart) -> list[Violation]:
    """All violations of a run."""
    attempts: dict[int, list[AttemptRecord]] = defaultdict(list)
    for attempt in history.attempts:
        attempts[attempt.number].append(attempt)
    found = [Violation("crash", crash) for crash in history.crashes]
    for request in history.requests.values():
        own = attempts[request.number]
        found += _one_answer(request, history)
        found += _client_gone(request, own, history)
        found += _nothing_after_the_answer(request, own, history)
        found += _told_deadline(request, own, history)
        found += _no_effect_twice(request, own)
    found += _drains(history)
    found += _slow_start(history, slow_start)
    return found


def _excused_s(history: History, began: float, ended: float, gateway: int) -> float:
    """How long the observer or this gateway had no processor in a span."""
    lags = (lag for lag in history.lags if lag.gateway in (None, gateway))
    overlaps = ((lag, min(ended, lag.ended) - max(began, lag.began)) for lag in lags)
    return sum(min(overlap, lag.seconds) for lag, overlap in overlaps if overlap > 0.0)


def _one_answer(request: RequestRecord, history: History) -> Iterator[Violation]:
    name = f"{request.number} ({request.effect}, gateway {request.gateway})"
    if request.answer is None:
        if request.killed or request.left_at < request.ended_at:
            return
        if request.was_read:
            after_s = request.ended_at - request.sent_at
            yield Violation("read and unanswered", f"{name}: closed {after_s:.3f} s after it was sent")
        elif (
            request.ended_at > history.ended_at
            and history.ended_at > request.sent_at + request.wait_s + LATE_S
        ):
            yield Violation("never answered", name)
        return
    since = max(request.sent_at, request.turn_at)
    late_s = request.answered_at - since - request.wait_s
    late_s -= _excused_s(history, since, request.answered_at, request.gateway)
    if late_s > LATE_S:
        yield Violation("answered too late", f"{name}: {late_s:.3f} s after its time")


def _client_gone(
    request: RequestRecord, attempts: list[AttemptRecord], history: History
) -> Iterator[Violation]:
    for attempt in attempts:
        after_s = attempt.at - request.left_at
        if after_s > GONE_S + HELD_UP_S + _excused_s(history, request.left_at, attempt.at, request.gateway):
            yield Violation("sent for a client that had left", f"{request.number}: {after_s:.3f} s after")


def _nothing_after_the_answer(
    request: RequestRecord, attempts: list[AttemptRecord], history: History
) -> Iterator[Violation]:
    for attempt in attempts:
        after_s = attempt.at - request.answered_at
        if after_s > SOCKET_SLACK_S + HELD_UP_S + _excused_s(
            history, request.answered_at, attempt.at, request.gateway
        ):
            yield Violation("sent after the answer", f"{request.number}: {after_s:.3f} s after")


def _told_deadline(
    request: RequestRecord, attempts: list[AttemptRecord], history: History
) -> Iterator[Violation]:
    for attempt in attempts:
        left_s = request.wait_s - (attempt.at - request.sent_at)
        over_s = (
            attempt.told_s
            - max(0.0, left_s)
            - _excused_s(history, request.sent_at, attempt.at, request.gateway)
        )
        if over_s > TOLD_SLACK_S:
            sent_for_s = attempt.at - request.sent_at
            detail = (
                f"{request.number} (gateway {request.gateway}): told {attempt.told_s:.3f} s "
                f"with {left_s:.3f} s left, {sent_for_s:.3f} s after it was sent"
            )
            yield Violation("deadline told to a server", detail)


def _no_effect_twice(request: RequestRecord, attempts: list[AttemptRecord]) -> Iterator[Violation]:
    ran = [attempt for attempt in attempts if attempt.ran]
    if request.effect is Effect.UNSAFE and len(ran) > 1:
        yield Violation("effect twice", f"{request.number} ran {len(ran)} times")
    if request.effect is Effect.UNSAFE and ran and request.answer is Answer.REFUSED:
        yield Violation("refused though it ran", f"{request.number}")
    for before, after in pairwise(sorted(attempts, key=lambda attempt: attempt.at)):
        if after.at < before.ended_at - SOCKET_SLACK_S:
            yield Violation("two attempts out", f"{request.number}")


def _drains(history: History) -> Iterator[Violation]:
    grace_s = DRAIN_GRACE_S + SOCKET_SLACK_S + HELD_UP_S
    told = {(record.gateway, record.server): record.at for record in history.told}
    for attempt in history.attempts:
        request = history.requests.get(attempt.number)
        at = told.get((request.gateway, attempt.server)) if request else None
        if request is None or at is None:
            continue
        if attempt.at - at > grace_s + _excused_s(history, at, attempt.at, request.gateway):
            yield Violation(
                "sent to a server that drains", f"{attempt.number}: {attempt.at - at:.3f} s after"
            )


def _slow_start(history: History, slow_start: SlowStart) -> Iterator[Violation]:
    at_server: dict[str, list[float]] = defaultdict(list)
    for attempt in history.attempts:
        at_server[attempt.server].append(attempt.at)
    for server in history.servers.values():
        for start in server.starts:
            until = start + slow_start.warm_up_s
            times = sorted(at for at in at_server[server.name] if start <= at <= until)
            first = 0
            for last, at in enumerate(times):
                while times[first] <= at - slow_start.window_s:
                    first += 1
                calls, budget = last - first + 1, slow_start.budget(at - start)
                if calls > budget:
                    detail = f"{server.name}: {calls} calls at {at - start:.2f} s, {budget:.0f} allowed"
                    yield Violation("slow start", detail)
                    break
