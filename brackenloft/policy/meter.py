"""Quotas: the leaky bucket of each customer, the slice of its plan, the cap on what is out, the ceiling."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import exp, inf

from brackenloft.interface import Allowance, Plan, Reading, Request, RequestClass, Settings

THOUSANDTHS = 1000.0  # of a unit, the unit of the excess
GROWTH = 0.1  # share of the room given out evenly: the meter is late, and all gateways rise on one figure
MEMORY_MS = 10_000.0  # time constant of a customer's mean use and of its part here: shifts take as long
FEW = 0.25  # the part that many gateways rise to: a customer's requests come through few at a time
UNEVEN = 4.0  # a quarter of the quota unused, on the mean, and it is all of that
KEEN = 3.0  # a third of the quota unused, on the mean, and a slice is all that the part here calls for
DEAR = 1.3  # what sending on beyond the quota costs, in worths, from which slices hardly grow
RUSH_MS = 1000.0  # time constant of what a customer asks here: quicker than any reading comes
RUSH = 2.0  # largest requests beyond what the whole quota gives in that time: two by chance are no rush
SUDDEN = 0.5  # of the last reading that counts as the mean at once, should it be more
WORTH_BURST = 0.25  # by which the burst grows for a class of endless worth, to have what others leave
MORE_BURST = 0.5  # and by how much more, where what is sent on beyond the quota costs nothing
CHEAP_HOLD = 0.1  # of the shortest aim, for which the least worthy class is held: the worthier wait longer
THIN_BURST = 2.0  # requests by which an unused thin slice's burst grows: two by chance are no abuse
NEWS_PERIODS = 4.0  # meter periods a reading stays news: the period, its lateness, a gap in traffic


class Customer:
    """What this gateway knows of one customer: its excess, its late metered use, what it has out."""

    __slots__ = ("excess", "touched", "largest", "width", "used", "used_at", "mean", "own", "own_at", "out",
                 "ceiling", "ceiling_at", "asked", "asked_at", "rush", "granted", "granted_until", "plan")

    def __init__(self, now: float, ceiling: float, plan: Plan) -> None:
        self.plan = plan  # by which its figures were last kept
        self.excess, self.touched, self.largest, self.width = 0.0, now, 0.0, 1
        self.used, self.used_at = 0.0, -inf  # the last reading, as a share of the quota
        self.mean = 1.0  # of the readings: all of the quota, as far as is known
        self.own, self.own_at = 0.0, now  # units let in here, faded
        self.asked, self.asked_at = 0.0, now  # an excess that counts what was refused as well
        self.rush = 0.0  # units asked here, faded within RUSH_MS
        self.granted, self.granted_until = 0.0, -inf  # the share that a shared counter leaves
        self.out = 0
        self.ceiling, self.ceiling_at = ceiling, now


class Meter:
    """The customers, and what each may have now. Times in milliseconds; ``now`` never goes back."""

    def __init__(self, settings: Settings) -> None:
        self.meter_period_ms = settings.meter_period_ms
        self.limits, self.gateways = settings.limits, settings.gateways
        self.news_ms = NEWS_PERIODS * settings.meter_period_ms
        self.plans: Mapping[str, Plan] = {item.name: item for item in settings.plans}
        self.plan_of: Callable[[str], str] | None = None  # where the customer's name tells its plan
        self.customers: dict[tuple[str, str], Customer] = {}
        self.joint = settings.plans_change  # customers are kept under their names alone
        self.started_at = inf
        worths = [item.worth for item in settings.classes]
        self.cheap = min(worths) if min(worths) < max(worths) else 0.0  # the least worth, where worths differ
        self.shortest = min(item.aim_ms for item in settings.classes)

    # ---- Customers

    def plan_name(self, customer_name: str, named: str) -> str:
        """The plan in force for a customer; ``named``: the one that its request names."""
        return self.plan_of and self.plan_of(customer_name) or named

    def key(self, plan_name: str, customer_name: str) -> tuple[str, str]:
        """What a customer is kept under."""
        return ("" if self.joint else plan_name, customer_name)

    def customer(self, request: Request, plan: Plan, now: float) -> Customer:
        """The customer's state, as the last touched; the longest untouched is forgotten once it is as new."""
        key = self.key(plan.name, request.customer)
        if (customer := self.customers.pop(key, None)) is None:
            customer = Customer(now, self._fresh_ceiling(plan, request.width, now), plan)
        self.adapt(customer, plan, now)
        customer.width = min(request.width, self.gateways)
        customer.largest = max(customer.largest, request.units)
        self.customers[key] = customer
        self._forget(customer, now)
        return customer

    def adapt(self, customer: Customer, plan: Plan, now: float) -> None:
        """Keep a customer by another plan from now on: it still owes what it owed its bucket and its ceiling.

        Guards against a fresh burst or ceiling for each change: since it was last seen the slower of the two
        plans has drained and refilled. Readings are shares of another rate. Where there was no rate, or no
        ceiling, nothing is known. Harm: who comes from a plan without a ceiling begins with an empty one.
        """
        old = customer.plan
        if old is plan:
            return
        rate, refill = min(old.rate, plan.rate), min(old.ceiling_rate, plan.ceiling_rate)
        drained = rate / customer.width * (now - customer.touched)
        customer.excess, customer.touched = max(0.0, customer.excess - drained), now
        scale = old.rate / plan.rate if rate and customer.used_at > -inf else 0.0
        customer.used, customer.mean = customer.used * scale, customer.mean * scale or 1.0
        customer.used_at = customer.used_at if scale else -inf
        refilled = refill / customer.width * (now - customer.ceiling_at) / THOUSANDTHS
        owed = max(0.0, old.ceiling_burst / customer.width - customer.ceiling - refilled)
        customer.ceiling = plan.ceiling_burst / customer.width - owed if refill else 0.0
        customer.ceiling_at, customer.plan = now, plan

    def renew(self, customer: Customer, event: Request, now: float) -> None:
        """Keep a customer by its plan now in force, if there is one."""
        self.adapt(customer, self.plans.get(self.plan_name(event.customer, event.plan), customer.plan), now)

    def _forget(self, current: Customer, now: float) -> None:
        """Keeps the state bounded: each request brings one customer at most and may take two away.

        One that can't be forgotten yet is looked at again in its turn, or it would keep all behind it. Beyond
        the bound it is let off what it owes its bucket, never its ceiling. Harm: a burst once more.
        """
        over = len(self.customers) > self.limits.max_customers
        for _ in range(2):
            key = next(iter(self.customers))
            plan = (old := self.customers[key]).plan
            if old is current:
                return
            idle = now - max(old.touched, old.used_at)
            drained = old.excess <= plan.rate / old.width * idle
            full = self._ceiling_level(old, plan, now) >= self._fresh_ceiling(plan, old.width, now)
            recent = idle < self.news_ms or now < old.granted_until
            if recent and drained and full and not old.out and not over:
                return  # those behind it have been seen later, or are looked at again before long
            del self.customers[key]
            if old.out or not full or not over and (recent or not drained):
                self.customers[key] = old

    # ---- The slice

    def _drain_ms(self, customer: Customer, plan: Plan) -> float:
        """How long the even slice takes to drain the customer's largest request."""
        return customer.largest * customer.width * THOUSANDTHS / plan.rate if plan.rate else 0.0

    def thin(self, customer: Customer, plan: Plan) -> bool:
        """Whether the even slice is less than a request, in its burst and in all the time that news lasts.

        Under thin slices what every gateway lets pass at first adds up to many times the quota, and no
        gateway hears of the customer often enough to see it. Exceptions that act there, and only there:
        a marked retry is refused, as it was most likely refused elsewhere for being over quota; and the
        last reading stays news until a request has drained, its room growing the burst while the customer
        asks no more here than its slice and two requests: a low reading of one held back is no room.
        Guards against customers far over quota that try each gateway in turn. Harm: a retry after a failure
        is refused too.
        """
        thin = plan.burst < customer.largest * customer.width
        return thin and self._drain_ms(customer, plan) > self.news_ms

    def read(self, customer: Customer, used: float, now: float) -> None:
        """A late reading of the meter: the share of its quota that the customer used, at all gateways.

        Readings of one period go up and down by chance, the more the fewer requests there are. Their mean
        starts at the whole quota, so that room has to be shown before any is given out.
        """
        since = self.meter_period_ms if customer.used_at == -inf else now - customer.used_at
        customer.mean += (1.0 - exp(-since / MEMORY_MS)) * (used - customer.mean)
        customer.used, customer.used_at = used, now

    def grant(self, event: Reading, now: float) -> None:
        """What a shared counter leaves here, while it is news; of a customer who is known."""
        if customer := self.customers.get(self.key(event.plan, event.customer)):
            customer.granted, customer.granted_until = event.share, now + event.lasts_ms

    def _room(self, customer: Customer, lasts_ms: float, now: float) -> float:
        """The room that the late reading leaves; none at or over quota, or when it is no news any more."""
        return max(0.0, 1.0 - customer.used) if now - customer.used_at <= lasts_ms else 0.0

    def _ease(self, plan: Plan) -> float:
        """How freely slices may grow: by what it costs when more is sent on than the quota has (0 to 1).

        Guards against one rule for all: where that costs little, what is refused within the quota by
        mistake is the greater loss, and where it costs more than an answer earns, the smaller one.
        """
        return min(1.0, max(0.0, 1.0 - (plan.over_cost - plan.over_worth) / DEAR))

    def _own(self, customer: Customer, now: float) -> float:
        """What was let in here of late: units, faded."""
        return customer.own * exp((customer.own_at - now) / MEMORY_MS)

    def _rush(self, customer: Customer, now: float) -> float:
        """What was asked here just now: units, faded."""
        return customer.rush * exp((customer.asked_at - now) / RUSH_MS)

    def _part(self, customer: Customer, plan: Plan, now: float) -> float:
        """The part of the quota for this gateway: the even one, or what it sees of the customer's use.

        Guards against refusing at the gateway that a customer's requests come through just then what the
        others leave: fronts deal them out unevenly, and the busiest one changes. The parts by use add up
        to one over the gateways; only the even ones of the others come on top. Who asks for more than the
        whole quota here has the even part at once: the meter would tell seconds later. Harm: after a shift
        the one that was busy keeps its part for a while.

        Where a reading shows room, the even part of many gateways rises to that of a few. Guards against a
        part that, at thirty gateways, is less than the next request, while nearly all that is refused would
        have been within the quota. A reading is news here until the even slice has drained a request: a
        gateway hears no sooner again. Where a shared counter tells, the part is what that leaves.
        """
        if now < customer.granted_until:
            return min(1.0, max(1.0 / customer.width, customer.granted))
        even, own = 1.0 / customer.width, self._own(customer, now)
        rush = self._rush(customer, now) > plan.rate / 1000.0 * RUSH_MS + RUSH * customer.largest
        age = now - customer.used_at
        if age > max(self.news_ms, self._drain_ms(customer, plan)):
            return even
        room = max(0.0, 1.0 - max(customer.mean, SUDDEN * customer.used))
        even += min(1.0, UNEVEN * room) * max(0.0, FEW - even)
        if age > self.news_ms or not own or rush:
            return even
        keen = min(1.0, KEEN * room * self._ease(plan))
        used = customer.mean * plan.rate / 1000.0 * MEMORY_MS  # by all, faded alike
        return even + keen * max(0.0, own / max(own, used) - even)

    def share(self, customer: Customer, now: float) -> float:
        """The even floor, and the even part of the room that fresh news leaves."""
        return min(1.0, (1.0 + GROWTH * self._room(customer, self.news_ms, now)) / customer.width)

    def slice(self, customer: Customer, plan: Plan, now: float) -> float:
        """The slice of the rate: by its part here, and the even part of the room that is left."""
        even = GROWTH * self._room(customer, self.news_ms, now) / customer.width
        return min(1.0, self._part(customer, plan, now) + even)

    def _worthier(self, kind: RequestClass, plan: Plan) -> float:
        """By how much the burst is larger for a class: nothing for the least worthy.

        Guards against a customer beyond its quota who fills it with what is worth least: an excess near the
        burst is open to the worthier classes alone. Harm: it passes the quota by that much at first.
        """
        if not self.cheap:
            return 1.0
        return 1.0 + (WORTH_BURST + MORE_BURST * self._ease(plan)) * (1.0 - self.cheap / kind.worth)

    # ---- The bucket

    def _burst(self, customer: Customer, plan: Plan, now: float) -> float:
        return max(plan.burst * self._part(customer, plan, now), customer.largest) * THOUSANDTHS

    def hold_ms(self, customer: Customer, plan: Plan, kind: RequestClass, units: float, now: float) -> float:
        """Milliseconds to hold the request, inf to refuse it; the excess is stored unless it is refused."""
        if not plan.rate:
            return 0.0
        rate = plan.rate * self.slice(customer, plan, now)
        burst = self._burst(customer, plan, now)
        drained = plan.rate * (now - customer.asked_at) / customer.width / THOUSANDTHS  # by the even slice
        customer.rush = self._rush(customer, now) + units
        customer.asked, customer.asked_at = max(0.0, customer.asked - drained) + units, now
        if self.thin(customer, plan) and customer.asked <= THIN_BURST * customer.largest:
            burst *= 1.0 + THIN_BURST * self._room(customer, self._drain_ms(customer, plan), now)
        burst *= self._worthier(kind, plan)
        excess = max(0.0, customer.excess - rate * (now - customer.touched) + THOUSANDTHS * units)
        if excess > 2.0 * burst:
            return inf
        customer.excess, customer.touched = excess, now
        customer.own, customer.own_at = self._own(customer, now) + units, now
        return max(0.0, excess - burst) / rate

    def useful_ms(self, kind: RequestClass, latency_ms: float) -> float:
        """How long a hold may last: for an answer within the shortest aim, and less for the least worthy.

        Guards against sending on what earns nothing, as a band of one burst may last seconds longer than
        the aim, and against a class that wins the quota by waiting longest: reads with twice the aim of
        posts were served whole and posts four fifths. Harm: a class with a long aim, or that earns much
        after it, is refused what it could have had.
        """
        if kind.worth == self.cheap:
            return CHEAP_HOLD * self.shortest
        return self.shortest - latency_ms

    def advice_ms(self, customer: Customer, plan: Plan, units: float, now: float) -> float:
        """When a request refused for the quota may come again: when the bucket has drained for it."""
        if not self.limits.can_advise_retry:
            return 0.0
        rate = plan.rate * self.slice(customer, plan, now)
        excess = customer.excess - rate * (now - customer.touched) + THOUSANDTHS * units
        return min(self.limits.max_retry_after_ms, max(0.0, excess - self._burst(customer, plan, now)) / rate)

    def allowance(self, plan_name: str, customer_name: str, width: int, now: float) -> Allowance:
        """What a customer could have now; changes nothing. KeyError: there is no such plan."""
        plan = self.plans[plan_name := self.plan_name(customer_name, plan_name)]
        if not plan.rate:
            return Allowance(0.0, 0.0, 0.0, 0.0)
        if (customer := self.customers.get(self.key(plan_name, customer_name))) is None:
            return Allowance(plan.burst / width, plan.burst, plan.rate, 0.0)
        rate = plan.rate * self.slice(customer, plan, now)
        excess = max(0.0, customer.excess - rate * (now - customer.touched))
        left = max(0.0, self._burst(customer, plan, now) - excess) / THOUSANDTHS
        return Allowance(left, plan.burst, plan.rate, excess / rate)

    def settle(self, customer: Customer, guess: float, true: float) -> None:
        """Put a guess right once the answer tells the units."""
        customer.excess = max(0.0, customer.excess + THOUSANDTHS * (true - guess))

    # ---- The in-flight cap and the ceiling

    def in_flight_cap(self, customer: Customer, plan: Plan, now: float) -> float:
        """This gateway's slice of the attempts a customer may have out at once, at least one."""
        cap = plan.max_in_flight
        return max(1, int(cap * self.share(customer, now))) if cap else inf

    def _fresh_ceiling(self, plan: Plan, width: int, now: float) -> float:
        """The ceiling's share of a customer not seen since the start: unknown history starts at nought."""
        return min(plan.ceiling_burst, plan.ceiling_rate * (now - self.started_at) / 1000.0) / width

    def _ceiling_level(self, customer: Customer, plan: Plan, now: float) -> float:
        refill = plan.ceiling_rate / customer.width * (now - customer.ceiling_at) / 1000.0
        return min(plan.ceiling_burst / customer.width, customer.ceiling + refill)

    def ceiling_wait(self, customer: Customer, plan: Plan, units: float, now: float) -> float:
        """Milliseconds until this gateway's share of the hard ceiling holds the request's units."""
        if not plan.ceiling_rate:
            return 0.0
        if units > plan.ceiling_burst / customer.width:
            return inf
        short = units - self._ceiling_level(customer, plan, now)
        return max(0.0, short) * 1000.0 * customer.width / plan.ceiling_rate

    def draw_ceiling(self, customer: Customer, plan: Plan, units: float, now: float) -> None:
        """A first attempt takes its units from the ceiling."""
        if plan.ceiling_rate:
            customer.ceiling = self._ceiling_level(customer, plan, now) - units
            customer.ceiling_at = now
