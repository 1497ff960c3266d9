"""All customers' accounts at one gateway, what is told to the counter and asked of it. Pure.

``due`` makes a report of those that have something to tell or to hear; ``answered`` and ``failed`` take up
what became of it and give the readings for the decisions. A report is never on a request's path: who asks
meanwhile is decided by what was read before.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable, Mapping
from math import inf

from brackenloft.interface import Plan, Reading
from brackenloft.quota.account import Account
from brackenloft.quota.model import Figures, Reply, Report, Row, Run
from brackenloft.quota.trust import State, Trust

REPORT_MS = 250.0  # between two reports: what all may let in too much at first is what this lets by
RENEW_MS = 60_000.0  # how often the counter is told to keep a customer's figures: a tenth of how long
EARLY = 0.9  # of that: a timer that fires a little early is not to cost a whole turn
MOST_ROWS = 500  # customers in a report: three short commands each, 100 kB in all
LASTS_MS = 5000.0  # a share that is told is news for so long: longer than any state is held
AGAIN_MS = 2000.0  # from when before its end it is told again
CHANGED = 0.02  # of the quota: a share that moved by less is not told anew
FORGET_MS = 60_000.0  # without a request and with nothing to tell

Key = tuple[str, str]  # plan and customer


class Core:
    """One gateway's side of the shared counter."""

    def __init__(self, plans: Iterable[Plan], gateways: int, own: Run, most_customers: int) -> None:
        self.plans = {plan.name: plan for plan in plans if plan.rate}
        self.gateways, self.own, self.most = gateways, own, most_customers
        self.trust = Trust(own, gateways)
        self.accounts: OrderedDict[Key, Account] = OrderedDict()  # the longest unused first
        self.turn: OrderedDict[Key, None] = OrderedDict()  # to be told and asked for, the longest first
        self.beat = 0
        self.reported = 0.0  # when the last report was made
        self.counts: Counter[str] = Counter()

    @property
    def state(self) -> State:
        """How far the counter is believed."""
        return self.trust.state

    # ---- Our own use

    def uses(self, key: Key, units: float, width: int, first: int, now: float) -> None:
        """A request was let in, of a customer that comes through ``width`` gateways from the ``first`` on."""
        account = self.accounts.get(key)
        if account is None:
            plan = self.plans.get(key[0])
            if plan is None:
                return
            at = tuple((first + n) % self.gateways for n in range(max(1, min(width, self.gateways))))
            account = self.accounts[key] = Account(plan, at, now)
            self._bound()
        account.uses(units, now)
        self.accounts.move_to_end(key)
        if key not in self.turn:
            self.turn[key] = None

    def refuses(self, key: Key, units: float, now: float) -> None:
        """A request was turned away for the quota."""
        account = self.accounts.get(key)
        if account:
            account.refused(units, now)
            self.accounts.move_to_end(key)

    def settles(self, key: Key, units: float, now: float) -> None:
        """So many units more than was thought were used, or fewer."""
        account = self.accounts.get(key)
        if account:
            account.uses(units, now)
            self.turn.setdefault(key)

    def _bound(self) -> None:
        """Guards against a table that grows with all customers ever seen."""
        while len(self.accounts) > self.most:
            key, _ = self.accounts.popitem(last=False)
            self.turn.pop(key, None)
            self.counts["forgotten early"] += 1

    # ---- Reports

    def due(self, now: float, epoch: str) -> Report | None:
        """The next report, if it is time for one; an empty one still tells that we are there."""
        if now - self.reported < EARLY * REPORT_MS:
            return None
        self.reported, self.beat = now, self.beat + 1
        self._forget(now)
        rows: list[Row] = []
        while self.turn and len(rows) < MOST_ROWS:
            key, _ = self.turn.popitem(last=False)
            account = self.accounts.get(key)
            if account:
                keeps = now - account.kept_at > RENEW_MS
                if keeps:
                    account.kept_at = now
                rows.append(Row(*key, account.figures(now), keeps))
        self.counts["reports"] += 1
        return Report(self.own, self.beat, epoch, tuple(rows))

    def _forget(self, now: float) -> None:
        """Who has been idle for long, and has nothing left to tell."""
        while self.accounts:
            key, account = next(iter(self.accounts.items()))
            if now - account.used_at <= FORGET_MS or (account.owes() and self.state is not State.SILENT):
                return
            del self.accounts[key]
            self.turn.pop(key, None)

    def answered(self, report: Report, reply: Reply, asked: float, now: float) -> list[Reading]:
        """The counter has taken a report made at ``asked``."""
        trust = self.trust
        before = trust.epoch
        trust.answer(now, asked, reply.epoch, dict(reply.beats))
        if before and trust.epoch != before:
            self._tell_again(now)
        if reply.beats.get(self.own, 0) < report.beat:
            self._doubts(now, "our own number fell")
        known = trust.known(now)
        for row, figures in zip(report.rows, reply.rows, strict=True):
            self._heard(row, figures, known, now)
        return self._follow(now)

    def _heard(
        self,
        row: Row,
        figures: Mapping[Run, Figures],
        known: frozenset[Run],
        now: float,
    ) -> None:
        account = self.accounts.get((row.plan, row.customer))
        if account is None:
            return
        if not account.read(figures, self.own, row.figures, known, now):
            self._doubts(now, "figures that can't be")
        if not account.idle(now) or account.owes() or row.figures.rate:
            self.turn.setdefault((row.plan, row.customer))  # it is asked for again, and tells its end

    def _doubts(self, now: float, why: str) -> None:
        self.trust.doubt(now)
        self.counts[why] += 1

    def _tell_again(self, now: float) -> None:
        """Another counter, or an emptied one: it is to know all that we know of ourselves."""
        self.counts["replaced"] += 1
        for key, account in self.accounts.items():
            account.told, account.kept_at = Figures(0, 0), -inf
            if account.own:
                self.turn.setdefault(key)

    def failed(self, report: Report, why: str, now: float) -> list[Reading]:
        """No answer, or none that can be read: what it told is told again."""
        self.counts[f"failed: {why}"] += 1
        for row in report.rows:
            account = self.accounts.get((row.plan, row.customer))
            if account:
                account.kept_at = -inf
                self.turn.setdefault((row.plan, row.customer))
        return self._follow(now)

    def nonsense(self, report: Report, why: str, now: float) -> list[Reading]:
        """It answered what no gateway writes."""
        self._doubts(now, why)
        return self.failed(report, "nonsense", now)

    # ---- What follows

    def _follow(self, now: float) -> list[Reading]:
        """The state of this moment, and the shares that have changed or are news no longer."""
        unseen = self.trust.unseen(now)
        if self.trust.turn(now, unseen):
            self.counts[f"turned {self.state.value}"] += 1
        readings = []
        for (plan, customer), account in reversed(self.accounts.items()):
            if account.idle(now):
                break  # all before it have been idle for longer
            share = account.share(now, self.state, unseen)
            if abs(share - account.given) > CHANGED or account.given_until - now < AGAIN_MS:
                account.given, account.given_until = share, now + LASTS_MS
                readings.append(Reading(plan, customer, share, LASTS_MS))
        return readings

    def rest(self, now: float) -> list[Reading]:
        """Time has passed without a report: guards against a state that stays as none is made."""
        return self._follow(now)
