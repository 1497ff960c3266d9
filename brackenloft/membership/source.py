"""What one source has said, how old that is, and what is kept although it is missing from a list. Pure."""

from __future__ import annotations

from collections import deque
from math import inf

from brackenloft.membership.model import Instance, Said, SourceTerms


class Source:
    """One source's list.

    The rule for what is missing. A node that a source says has left is gone at once. One that is only
    missing from a whole list is gone at once too, as long as no more than ``most_absent`` of the list (and
    one node in any case) goes missing within ``hold_ms``; beyond that it is kept for ``hold_ms``, as stale.
    Guards against a registry that was restarted and has forgotten its list, or was filled by half. Bound:
    ``hold_ms``; whoever lives has registered anew by then. Harm: where many really leave at once without a
    word, they stay listed that long; connects that fail find them, and staleness lets go of them sooner.
    """

    def __init__(self, terms: SourceTerms) -> None:
        self.terms = terms
        self.listed: dict[str, Instance] = {}
        self.held: dict[str, float] = {}  # missing, by name, and until when it is kept: in the order of that
        self.missed: deque[tuple[float, int]] = deque()  # when so many were let go as missing
        self.heard_at = -inf
        self.bites = 0  # times that the rule kept nodes

    def fresh(self, now: float) -> bool:
        """Whether it has said something lately."""
        return now - self.heard_at < self.terms.stale_after_ms

    def stale_at(self) -> float:
        """From when on it is stale, if it says nothing more."""
        return self.heard_at + self.terms.stale_after_ms

    def doubtful(self, name: str, now: float) -> bool:
        """Whether what it says of a node is stale, or the node is missing and kept."""
        return name in self.held or not self.fresh(now)

    def take(self, now: float, said: Said) -> list[Instance]:
        """Take what it says; the instances, before or after, whose addresses may stand otherwise now."""
        self.heard_at = now
        touched = []
        for instance in said.changed:
            back = self.held.pop(instance.name, None) is not None
            before = self.listed.get(instance.name)
            if before != instance or back:
                self.listed[instance.name] = instance
                touched += [instance] if before is None else [before, instance]
        for name in said.left:
            self._drop(name, touched)
        absent = [name for name in said.absent if name in self.listed and name not in self.held]
        self._miss(now, absent, touched)
        return touched

    def expire(self, now: float, most: int) -> list[Instance]:
        """Let go of what was kept long enough; of so many at once, as ``due`` says if there are more."""
        touched: list[Instance] = []
        while self.held and self.due() <= now and len(touched) < most:
            self._drop(next(iter(self.held)), touched)
        return touched

    def due(self) -> float:
        """When the next one that is missing has been kept long enough."""
        return next(iter(self.held.values()), inf)

    def _miss(self, now: float, absent: list[str], touched: list[Instance]) -> None:
        if not absent:
            return
        while self.missed and self.missed[0][0] <= now - self.terms.hold_ms:
            self.missed.popleft()
        gone = sum(number for _, number in self.missed)
        known = len(self.listed) - len(self.held) + gone
        if gone + len(absent) <= max(1.0, self.terms.most_absent * known):
            self.missed.append((now, len(absent)))
            for name in absent:
                self._drop(name, touched)
            return
        self.bites += 1
        self.held.update(dict.fromkeys(absent, now + self.terms.hold_ms))

    def _drop(self, name: str, touched: list[Instance]) -> None:
        self.held.pop(name, None)
        instance = self.listed.pop(name, None)
        if instance:
            touched.append(instance)
