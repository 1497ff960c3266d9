"""Keeps watch over a run: the five rules and the quotas, counted from outside, and the figures of the run.

Nothing here asks the gateways: it sees what clients ask and are answered, what nodes are sent and do, and
what each gateway was told. Times in milliseconds.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from brackenloft.interface import Effect, ServerEntry, ServerState
from brackenloft.lab.client_try import ClientTry
from brackenloft.lab.customers import Customer
from brackenloft.lab.nodes import Node
from brackenloft.lab.spec import Class, Experiment, Fault, PlanSpec

DRAIN_MS = 1000.0  # after being told, the last moment for something new
NEVER_TOLD = (ServerState.READY, 0.0)
SLACK_MS = 8.0  # that a final answer may be late
MOST_BROKEN = 20  # kept in words; all are counted
MOST_ATTEMPTS = 3  # of a request, as the settings of the lab have it
WHY = {True: "over quota", False: "no room", None: "not told"}  # of a refusal
HALF = 0.5  # of the burst: a refusal while so much is left was a mistake


class Store:
    """A quota as one that sees all would keep it: fills at ``rate``, holds ``burst``."""

    __slots__ = ("rate", "burst", "left", "at")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.left, self.at = rate, burst, burst, 0.0

    def level(self, now: float) -> float:
        """Units in it now."""
        self.left = min(self.burst, self.left + self.rate * (now - self.at) / 1000.0)
        self.at = now
        return self.left

    def take(self, units: float, now: float) -> bool:
        """Take them if they are there."""
        there = self.level(now) >= units
        if there:
            self.left -= units
        return there


class Tally:
    """Worth by what became of it."""

    __slots__ = ("offered", "served", "wasted")

    def __init__(self) -> None:
        self.offered = self.served = self.wasted = 0.0


class Oracle:
    """One run's watch."""

    def __init__(self, experiment: Experiment, slack_ms: float = SLACK_MS) -> None:
        self.spec, self.slack_ms = experiment, slack_ms
        self.rules: Counter[str] = Counter()
        self.words: list[str] = []
        self.said: dict[tuple[int, int], tuple[ServerState, float]] = {}
        self.asked: dict[int, Store] = {}  # what first tries take, in order
        self.sent_on: dict[int, Store] = {}  # what is sent on takes
        self.ceilings: dict[int, Store] = {}
        self.plans: dict[str, Tally] = defaultdict(Tally)
        self.counts: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.latencies: list[float] = []
        self.seconds: dict[int, Counter[str]] = defaultdict(Counter)
        self.chains: dict[str, list[ClientTry]] = {}  # the tries of one wish, for classes with an effect
        self.faults: list[tuple[float, str]] = []

    def broken(self, rule: str, why: str) -> None:
        """A rule was broken."""
        self.rules[rule] += 1
        if len(self.words) < MOST_BROKEN:
            self.words.append(f"{rule}: {why}")

    # ---- Told and sent

    def told(self, now: float, gateway: int, entries: Iterable[ServerEntry]) -> None:
        """A gateway has had news of nodes; what nobody has told is ready."""
        for entry in entries:
            key = (gateway, entry.server)
            if self.said.get(key, NEVER_TOLD)[0] is not entry.state:
                self.said[key] = (entry.state, now)

    def sent(self, now: float, gateway: int, ask: ClientTry, node: Node, inside: bool) -> None:
        """An attempt goes out."""
        state, since = self.said.get((gateway, node.number), (ServerState.READY, 0.0))
        if state is not ServerState.READY and now > since + DRAIN_MS:
            self.broken(
                "drains", f"{ask.name} to node {node.number}, {now - since:.0f} ms after {state.value}"
            )
        if len(ask.out) > 1:
            self.broken("one at a time", f"{ask.name} has {len(ask.out)} attempts out")
        if ask.sends > MOST_ATTEMPTS:
            self.broken("attempts at most", f"{ask.name} has had {ask.sends}")
        self.counts["attempts"] += 1
        if ask.sends > 1:
            return
        plan, units, customer = ask.customer.plan, ask.kind.units, ask.customer.number
        self.counts["sent_on"] += 1
        if plan.ceiling_rate:
            ceiling = self.ceilings.setdefault(customer, Store(plan.ceiling_rate, plan.ceiling_burst))
            ceiling.level(now)
            ceiling.left -= units
            if ceiling.left < -plan.ceiling_slack:
                self.broken("ceilings", f"customer {customer} is {-ceiling.left:.1f} units beyond")
        store = self.sent_on.setdefault(customer, Store(plan.rate, plan.burst))
        if not store.take(units, now):
            self.counts["beyond"] += 1
            if now >= self.spec.warm_ms:
                self.plans[plan.name].wasted += plan.over_cost * self._worth(ask.kind, plan)

    # ---- Asked and answered

    def offered(self, now: float, customer: Customer, kind: Class) -> bool:
        """A first try; whether one that saw them all would let it in."""
        plan = customer.plan
        store = self.asked.setdefault(customer.number, Store(plan.rate, plan.burst))
        inside = store.take(kind.units, now)
        if now >= self.spec.warm_ms:
            share = 1.0 if inside else plan.over_worth
            self.plans[plan.name].offered += share * self._worth(kind, plan)
            self.seconds[int(now // 1000)]["inside" if inside else "outside"] += 1
        return inside

    def taken(self, now: float, gateway: int, ask: ClientTry) -> None:
        """A gateway has a try in hand."""
        self.counts["tries"] += 1
        if ask.kind.effect is not Effect.SAFE:
            self.chains.setdefault(ask.chain(), []).append(ask)

    def answered(self, now: float, ask: ClientTry, what: str, over_quota: bool | None) -> None:
        """A try's final answer."""
        self.counts[what] += 1
        if now > ask.gives_up + self.slack_ms:
            self.broken("one answer in time", f"{ask.name} {now - ask.gives_up:.0f} ms late")
        plan, second = ask.customer.plan, self.seconds[int(now // 1000)]
        second[what] += 1
        if what == "refused":
            self.refusals[WHY[over_quota]] += 1
            store = self.sent_on.get(ask.customer.number)
            if store is None or store.level(now) >= HALF * plan.burst:
                self.counts["refused_with_room"] += 1
        if what == "served" and now - ask.first_at <= ask.kind.aim_ms and ask.first_at >= self.spec.warm_ms:
            self.plans[plan.name].served += self._worth(ask.kind, plan) * (
                1.0 if ask.inside else plan.over_worth
            )
            self.latencies.append(now - ask.first_at)
            second["served inside"] += ask.inside

    def unanswered(self, now: float, ask: ClientTry) -> None:
        """A client's time was up with no answer."""
        self.broken("one answer in time", f"{ask.name} had none")

    def died(self, ask: ClientTry) -> None:
        """Its gateway died: the client's to try again, and nothing is promised."""
        self.counts["died"] += 1

    def left(self, ask: ClientTry) -> None:
        """Its client did not wait for the answer: nothing is owed any more."""
        self.counts["left"] += 1

    def fault(self, now: float, fault: Fault) -> None:
        """For the marks of the report."""
        self.faults.append((now, fault.kind))

    def _worth(self, kind: Class, plan: PlanSpec) -> float:
        return kind.worth * plan.price * kind.units

    # ---- The end

    def end(self, now: float, nodes: list[Node]) -> None:
        """What can only be told when all is over."""
        for node in nodes:
            if node.fallen:
                self.broken("cold nodes", f"node {node.number} was pushed over")
        for chain, asks in self.chains.items():
            times = sum(len(job.effects) for ask in asks for job in ask.jobs)
            if times > 1:
                self.broken("no effect twice", f"{chain} took effect {times} times in {len(asks)} tries")

    def figures(self) -> dict[str, float]:
        """The run in numbers."""
        offered = sum(tally.offered for tally in self.plans.values()) or 1.0
        served = sum(tally.served for tally in self.plans.values())
        wasted = sum(tally.wasted for tally in self.plans.values())
        tries, times = self.counts["tries"] or 1, sorted(self.latencies) or [0.0]
        found = {
            "service": served / offered,
            "overuse_cost": wasted / offered,
            "net": (served - wasted) / offered,
            "worst_plan": min((t.served / t.offered for t in self.plans.values() if t.offered), default=0.0),
            "served_share": self.counts["served"] / tries,
            "refused_share": self.counts["refused"] / tries,
            "failed_share": self.counts["failed"] / tries,
            "refused_with_room": self.counts["refused_with_room"] / tries,
            "beyond_quota": self.counts["beyond"] / (self.counts["sent_on"] or 1),
            "attempts_per_try": self.counts["attempts"] / tries,
            "tries": float(self.counts["tries"]),
            "median_ms": times[len(times) // 2],
            "p99_ms": times[min(len(times) - 1, int(len(times) * 0.99))],
            "rules_broken": float(sum(self.rules.values())),
        }
        return {name: round(value, 5) for name, value in found.items()}
