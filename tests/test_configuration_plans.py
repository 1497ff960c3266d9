"""Plans and customers' plans that change while a gateway runs: what is kept, what holds at once."""

from dataclasses import replace

import pytest
from conftest import SETTINGS, Rig, entry
from fakes import node, run
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft import Plan, Reading, Request
from brackenloft.interface import PlansChanged
from brackenloft.policy.meter import Customer, Meter

QUOTA = Plan("quota", rate=10.0, burst=8.0)
SMALL = Plan("small", rate=2.0, burst=2.0)
FREE = Plan("free")
CEILING = Plan("ceiling", rate=1e4, burst=1e4, ceiling_rate=10.0, ceiling_burst=20.0)
LOWER = replace(CEILING, name="lower", ceiling_rate=2.0, ceiling_burst=8.0)
CAPPED = Plan("capped", max_in_flight=8)
ALL = (QUOTA, SMALL, FREE, CEILING, LOWER, CAPPED)


class Changing(Rig):
    """A gateway whose customers have the plans of ``listed``."""

    def __init__(self, *plans: Plan, **listed: str):
        super().__init__(replace(SETTINGS, plans=plans or ALL, plans_change=True))
        self.listed = listed
        self.servers(entry(1), entry(2))
        self.change()

    def change(self, *plans: Plan, **listed: str) -> None:
        """These plans are other ones from now on, and these customers have other plans."""
        known = {plan.name: plan for plan in (*self.gateway.meter.plans.values(), *plans)}
        self.listed = self.listed | listed
        self.do(PlansChanged(known, lambda customer, now=self.listed: now.get(customer, "")))

    def remove(self, *names: str) -> None:
        known = {name: plan for name, plan in self.gateway.meter.plans.items() if name not in names}
        self.do(PlansChanged(known, lambda customer, now=self.listed: now.get(customer, "")))

    @property
    def customer(self) -> Customer:
        return self.gateway.meter.customers["", "c"]

    def asks(self, count: int, plan: str = "free") -> list[str]:
        """So many requests; the names of those that were sent at once."""
        return [name for name in [self.ask(plan) for _ in range(count)] if name in self.sent]


# ---- Whose plan counts


def test_the_document_s_plan_counts_for_who_is_listed_and_the_client_s_word_for_others():
    rig = Changing(c="quota")
    assert len(rig.asks(20, "free")) < 20 and rig.customer.plan is QUOTA
    assert (
        len([name for name in [rig.ask("free", customer="d") for _ in range(20)] if name in rig.sent]) == 20
    )
    assert (
        len([name for name in [rig.ask("quota", customer="e") for _ in range(20)] if name in rig.sent]) < 20
    )


def test_a_customer_is_served_by_another_plan_from_its_next_request_on():
    rig = Changing(c="free")
    assert len(rig.asks(40)) == 40
    rig.change(c="quota")
    assert 0 < len(rig.asks(40)) < 20
    rig.change(c="free")
    assert len(rig.asks(40)) == 40


def test_a_plan_that_is_new_is_known_at_once_and_one_that_is_gone_is_refused_but_to_who_is_listed():
    rig = Changing(c="quota")
    rig.change(Plan("new"))
    assert rig.ask("new", customer="d") in rig.sent
    rig.remove("new")
    gone = rig.ask("new", customer="d")
    assert rig.answers[gone] == "Refuse" and gone not in rig.sent
    assert rig.ask("new") in rig.sent


def test_what_is_left_of_a_quota_is_told_by_the_plan_in_force():
    rig = Changing(c="quota")
    assert rig.gateway.allowance("free", "c").burst == QUOTA.burst
    rig.change(c="small")
    assert rig.gateway.allowance("free", "c").burst == SMALL.burst
    rig.change(replace(SMALL, burst=3.0))
    assert rig.gateway.allowance("free", "c").burst == 3.0


def test_a_gateway_that_was_not_told_so_keeps_customers_by_plan():
    rig = Rig(replace(SETTINGS, plans=ALL))
    rig.servers(entry(1), entry(2))
    rig.ask("quota")
    rig.ask("free")
    assert set(rig.gateway.meter.customers) == {("quota", "c"), ("free", "c")}


# ---- Quotas


@pytest.mark.parametrize("how", ["moved", "lowered"])
def test_the_excess_is_kept_through_a_change_and_drains_at_the_new_rate(how):
    rig = Changing(c="quota")
    rig.asks(20)
    excess = rig.customer.excess
    assert excess == 8000.0  # twice the half of the burst that each of two gateways has
    if how == "moved":
        rig.change(c="small")
    else:
        rig.change(replace(SMALL, name="quota"))
    rig.ask()
    assert rig.customer.excess == excess
    rig.run(6900.0)  # the even slice of two gateways drains one unit a second; the band ends at two units
    assert rig.answers[rig.ask()] == "Refuse"
    rig.run(200.0)
    assert rig.ask() not in rig.answers


def test_there_and_back_gives_no_fresh_burst():
    rig = Changing(c="quota")
    rig.asks(20)
    for plan in ("small", "free", "ceiling", "capped", "quota"):
        rig.change(c=plan)
        rig.ask()
    rig.change(c="quota")
    before = len(rig.sent)
    assert not rig.asks(5) and len(rig.sent) == before and rig.customer.excess >= 8000.0


def test_a_raised_plan_gives_more_at_once():
    rig = Changing(c="small")
    assert len(rig.asks(10)) < 5
    rig.change(c="quota")
    assert 1 <= len(rig.asks(10)) <= 8


def test_readings_are_shares_of_the_new_rate_after_a_change():
    rig = Changing(c="quota")
    rig.finish(rig.ask(), used=50.0)
    used, mean = rig.customer.used, rig.customer.mean
    assert used == 0.5
    rig.change(replace(QUOTA, rate=5.0))
    rig.ask()
    assert rig.customer.used == pytest.approx(1.0) and rig.customer.mean == pytest.approx(2.0 * mean)
    rig.change(c="free")
    rig.ask()
    assert rig.customer.mean == 1.0 and rig.customer.used_at == -float("inf")


def test_a_reading_of_a_request_under_the_old_plan_is_not_taken_for_one_of_the_new():
    rig = Changing(c="quota")
    name = rig.ask()
    rig.change(c="small")
    rig.ask()
    rig.finish(name, used=10.0)
    assert rig.customer.used_at == -float("inf")


# ---- Requests in hand


def test_requests_in_hand_keep_the_terms_they_began_with():
    rig = Changing(c="quota")
    names = [rig.ask() for _ in range(6)]
    held = [name for name in names if name not in rig.sent]
    assert held and not rig.answers
    rig.change(c="small")
    rig.run(1000.0)
    assert all(name in rig.sent for name in held)  # at the times that the old rate gave


def test_requests_of_a_plan_that_is_gone_are_served_to_their_end():
    rig = Changing()
    out, held = rig.ask("quota"), [rig.ask("quota") for _ in range(5)][-1]
    assert out in rig.sent and held not in rig.sent
    rig.remove("quota")
    rig.run(1000.0)
    assert held in rig.sent
    rig.finish(out)
    rig.finish(held)
    assert rig.answers[out] == rig.answers[held] == "Ok"


def test_a_lowered_cap_holds_for_what_is_sent_from_then_on():
    rig = Changing(c="capped")
    out = rig.asks(6)  # of 8 at two gateways 4 here
    assert len(out) == 4
    rig.change(replace(CAPPED, max_in_flight=4))
    for name in out[:2]:
        rig.finish(name)
        assert rig.customer.out >= 2 and len(rig.sent) == 4
    rig.finish(out[2])
    assert len(rig.sent) == 5 and rig.customer.out == 2


def test_a_raised_cap_lets_all_go_that_wait_for_it_when_the_next_place_comes_free():
    rig = Changing(c="capped")
    out = rig.asks(7)
    assert len(out) == 4
    rig.change(replace(CAPPED, max_in_flight=16))
    rig.finish(out[0])
    assert len(rig.sent) == 7 and rig.customer.out == 6


# ---- Ceilings


def test_a_lowered_ceiling_holds_at_once_for_what_is_sent_from_then_on_though_requests_are_out():
    rig = Changing(c="ceiling")
    rig.run(60_000.0)
    assert len(rig.asks(11)) == 10  # half of 20 at each of two gateways; one is parked
    rig.change(c="lower")
    rig.run(
        1500.0
    )  # the parked one would have gone after 200 ms; it is owed 10 of 4 now, refilled 1 a second
    assert len(rig.sent) == 10


@pytest.mark.parametrize("how", ["moved", "lowered", "removed and back"])
def test_what_was_drawn_from_a_ceiling_is_carried_over(how):
    rig = Changing(c="ceiling")
    rig.run(60_000.0)
    assert len(rig.asks(7)) == 7
    if how == "moved":
        rig.change(c="lower")
    elif how == "lowered":
        rig.change(replace(LOWER, name="ceiling"))
    else:
        rig.remove("ceiling")
        rig.change(replace(LOWER, name="ceiling"))
    name = rig.ask()  # 4 less 7 are left
    assert name not in rig.sent and rig.customer.ceiling == -3.0
    rig.run(3990.0)
    assert name not in rig.sent
    rig.run(20.0)
    assert name in rig.sent or rig.answers[name] == "Refuse"


def test_a_raised_ceiling_gives_what_was_added_and_no_fresh_one():
    rig = Changing(c="ceiling")
    rig.run(60_000.0)
    assert len(rig.asks(12)) == 10
    rig.change(replace(CEILING, ceiling_burst=30.0))
    assert len(rig.asks(12)) == 5


def test_a_ceiling_begins_empty_where_there_was_none():
    rig = Changing(c="free")
    rig.run(60_000.0)
    rig.asks(3)
    rig.change(c="ceiling")
    assert not rig.asks(1) and rig.customer.ceiling == 0.0


PLANS = st.sampled_from(ALL[3:5] + (replace(CEILING, ceiling_burst=14.0), FREE))
EVENTS = st.lists(st.one_of(st.floats(0.0, 3000.0), PLANS, st.just("ask")), max_size=80)


@settings(derandomize=True, deadline=None)
@given(EVENTS)
def test_no_series_of_changes_sends_more_than_the_largest_of_the_ceilings(events):
    """All that is sent in a span is within its refill and burst by the most generous ceiling of the span.

    Spans begin at a change to a ceiling's plan, after which the plans in force all have a ceiling.
    """
    meter = Meter(replace(SETTINGS, plans=ALL, plans_change=True))
    meter.started_at, now, plan = 0.0, 100_000.0, CEILING
    drawn: list[tuple[float, float]] = []
    ceilings: list[Plan] = [plan]
    since = now
    for event in events:
        if isinstance(event, float):
            now += event
        elif isinstance(event, Plan):
            if not event.ceiling_rate:
                drawn, ceilings = [], []
            elif not plan.ceiling_rate:
                since = now
            plan = event
            ceilings += [plan] if plan.ceiling_rate else []
        else:
            request = Request("r", "safe", plan.name, "c", 1000.0, 1.0, 2)
            customer = meter.customer(request, plan, now)
            if plan.ceiling_rate and not meter.ceiling_wait(customer, plan, 1.0, now):
                meter.draw_ceiling(customer, plan, 1.0, now)
                drawn.append((now, 1.0))
                for start, _ in drawn:
                    spent = sum(units for at, units in drawn if at >= start)
                    rate = max(one.ceiling_rate for one in ceilings) / 2.0
                    burst = max(one.ceiling_burst for one in ceilings) / 2.0
                    assert spent <= burst + rate * (now - max(start, since)) / 1000.0 + 1e-6


# ---- State stays bounded


def test_customers_of_plans_that_are_gone_are_forgotten_like_others():
    rig = Changing()
    names = [rig.ask("ceiling" if number % 2 else "quota", customer=f"old{number}") for number in range(300)]
    rig.remove("ceiling", "quota")
    rig.run(3000.0)
    for name in names:
        rig.finish(name)
    rig.run(120_000.0)
    for number in range(900):
        rig.finish(rig.ask("free", customer=f"new{number}"))
        rig.run(20.0)
    assert not any(name.startswith("old") for _, name in rig.gateway.meter.customers)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 4), st.sampled_from(ALL), st.floats(0.0, 500.0)), max_size=60))
def test_any_moves_keep_every_figure_sound(moves):
    meter = Meter(replace(SETTINGS, plans=ALL, plans_change=True))
    meter.started_at = now = 0.0
    kind = SETTINGS.classes[0]
    for number, plan, pause in moves:
        now += pause
        request = Request("r", "safe", plan.name, str(number), 1000.0, 1.0, 2)
        customer = meter.customer(request, plan, now)
        before = customer.excess
        assert customer.plan is plan and before >= 0.0
        hold = meter.hold_ms(customer, plan, kind, 1.0, now)
        assert hold >= 0.0 and customer.excess <= max(before, 2.0 * 1.75 * 1000.0 * max(plan.burst, 1.0))
        assert (
            meter.ceiling_wait(customer, plan, 1.0, now) >= 0.0
            and meter.in_flight_cap(customer, plan, now) >= 1
        )
        assert 0.0 <= customer.used < float("inf") and 0.0 < customer.mean < float("inf")
    assert len(meter.customers) <= 5


def test_a_counter_s_reading_finds_a_customer_by_its_name():
    rig = Changing(c="quota")
    rig.ask()
    rig.do(Reading("quota", "c", 0.5, 1000.0))
    assert rig.customer.granted == 0.5


# ---- An edge


def test_an_edge_whose_settings_rule_changes_out_keeps_its_plans():
    async def main():
        async with node() as made:
            with pytest.raises(ValueError, match="plans_change"):
                made.edge.put_plans({}, {}, lambda customer: "")
            assert made.edge.checks.plan("free") == "free"

    run(main())
