"""The rules of a run, checked against what clients and servers wrote down; the log has to agree. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from math import ceil, inf

from brackenloft.lab.overload.payload import Effect, Origin, origin_of
from brackenloft.lab.overload.records import NEVER, AttemptRecord, DepartureRecord, Outcome, RequestRecord

LATE_S = 0.5  # past its time an answer is lost
SENT_FOR_NOBODY_S = 0.1 + 0.15  # after a client's close, with what a process may be held up
STREAMED_FROM = 64 * 1024  # bytes of a value that is judged by its first byte
LOST = (Outcome.CUT, Outcome.READ_AND_CLOSED, Outcome.CLOSED_TWICE, Outcome.ENDED_UNDER)
LONG_TAIL = 0.99


@dataclass(slots=True)
class Verdict:
    """What came of a run: ``broken`` counts violations by rule, ``figures`` the rest."""

    broken: Counter[str] = field(default_factory=Counter)
    figures: dict[str, float] = field(default_factory=dict)
    shown: list[str] = field(default_factory=list)

    def violate(self, rule: str, detail: str) -> None:
        """One more violation."""
        self.broken[rule] += 1
        self.shown.append(f"{rule}: {detail}")


def late_s(record: RequestRecord) -> float:
    """How long after its time the answer came, or a long value's first byte; infinity for never."""
    since = max(record.sent_at, record.turn_at)
    at = record.first_byte_at if record.value_bytes > STREAMED_FROM else record.ended_at
    return at - since - record.wait_s


def judge(
    requests: Sequence[RequestRecord],
    left: Iterable[DepartureRecord],
    attempts: Sequence[AttemptRecord],
    log_text: str,
) -> Verdict:
    """Everything that clients and servers saw, and whether the log tells of each loss by the request's id."""
    verdict = Verdict()
    for record in requests:
        _judge_request(verdict, record, log_text)
    _judge_attempts(verdict, {record.identity: record.left_at for record in left}, attempts)
    _judge_unsafe(verdict, requests, attempts)
    _count(verdict, requests)
    return verdict


def _judge_request(verdict: Verdict, record: RequestRecord, log_text: str) -> None:
    name = f"{record.identity:016x}"
    detail = (
        f"{name} {record.effect} {record.body_bytes} B for {record.value_bytes} B, waits {record.wait_s} s, "
    )
    detail += f"port {record.local_port}, {record.received_bytes} B received"
    if record.outcome in LOST:
        verdict.violate(record.outcome, detail)
        if name not in log_text:
            verdict.violate("a loss that the log does not tell", detail)
    elif record.outcome in (Outcome.FOREIGN, Outcome.OUT_OF_MEMORY):
        verdict.violate(record.outcome, detail)
    elif record.outcome is Outcome.PENDING:
        if record.sent_at < NEVER:  # else its last byte was never taken
            verdict.violate(record.outcome, detail)
    elif record.outcome is not Outcome.NOT_CONNECTED and late_s(record) > LATE_S:
        verdict.violate("answered too late", f"{detail}, {late_s(record):.3f} s")


def _judge_attempts(verdict: Verdict, left: dict[int, float], attempts: Sequence[AttemptRecord]) -> None:
    began: Counter[int] = Counter(attempt.identity for attempt in attempts)
    for attempt in attempts:
        if attempt.began_at > left.get(attempt.identity, inf) + SENT_FOR_NOBODY_S:
            verdict.violate("sent for a client that had left", f"{attempt.identity:016x}")
    verdict.figures["attempts"] = len(attempts)
    verdict.figures["attempts of sound clients"] = sum(
        count for identity, count in began.items() if origin_of(identity) == Origin.SOUND
    )


def _judge_unsafe(
    verdict: Verdict, requests: Iterable[RequestRecord], attempts: Iterable[AttemptRecord]
) -> None:
    """No unsafe request runs twice: no server of a run refuses one."""
    began: Counter[int] = Counter(attempt.identity for attempt in attempts)
    for record in requests:
        if record.effect == Effect.UNSAFE and began[record.identity] > 1:
            verdict.violate("run twice", f"{record.identity:016x}")


def _count(verdict: Verdict, requests: Sequence[RequestRecord]) -> None:
    verdict.figures["asked"] = len(requests)
    for outcome, count in Counter(record.outcome for record in requests).items():
        verdict.figures[outcome] = count
    verdict.figures["turned back"] = sum(record.turned_back for record in requests)
    took = sorted(record.ended_at - record.sent_at for record in requests if record.outcome is Outcome.SERVED)
    if took:
        verdict.figures["p99_s"] = round(took[ceil(LONG_TAIL * len(took)) - 1], 3)
