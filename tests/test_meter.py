"""The ordinary path: the excess meter, its slice, the hold band, the in-flight cap. Figures by hand."""

from dataclasses import replace

import pytest
from conftest import CLASSES, DEAR, SETTINGS, Rig, entry, rig_with

from brackenloft import ClientGone, Effect, Plan, Reading, Request, RequestClass, Status
from brackenloft.policy import meter


def done(rig, name) -> bool:
    """Whether it was sent; if so it is answered at once."""
    if name in rig.sent:
        rig.finish(name)
    return name in rig.sent


def test_burst_is_sent_then_band_is_held_then_refused(rig):
    # rate 5/s and burst 4 for each of two gateways; the first request leaves an excess of one unit
    names = [rig.ask("metered") for _ in range(10)]
    assert [name in rig.sent for name in names] == [True] * 4 + [False] * 6
    assert [name in rig.answers for name in names] == [False] * 8 + [True] * 2


def test_hold_lasts_the_excess_over_burst_at_the_rate(rig):
    for _ in range(4):
        rig.ask("metered")
    held = rig.ask("metered")  # excess 5000, burst 4000: 1000 thousandths at 5 a second are 200 ms
    rig.run(199.0)
    assert held not in rig.sent
    rig.run(1.0)
    assert held in rig.sent


def test_refusal_leaves_the_excess_alone(rig):
    for _ in range(20):
        rig.ask("metered")
    customer = rig.gateway.meter.customers["metered", "c"]
    assert customer.excess == 8000.0


def test_excess_drains_at_the_rate_and_not_below_nought(rig):
    rig.ask("metered", units=3)
    rig.run(400.0)  # 5 units a second: 2000 thousandths drained, 1000 added
    rig.ask("metered")
    assert rig.gateway.meter.customers["metered", "c"].excess == 2000.0
    rig.run(5000.0)
    rig.ask("metered")
    assert rig.gateway.meter.customers["metered", "c"].excess == 0.0


def test_hold_past_the_deadline_is_a_refusal_and_costs_no_excess(rig):
    for _ in range(4):
        rig.ask("metered")
    assert rig.answers.get(rig.ask("metered", patience=200.0)) == "Refuse"
    assert rig.gateway.meter.customers["metered", "c"].excess == 4000.0


def test_burst_is_never_under_the_largest_request(rig):
    assert rig.ask("metered", units=6) in rig.sent  # the slice's burst is 4


def test_uneven_division_and_a_width_of_one():
    rig = rig_with(gateways=3)
    rig.servers(entry(1), entry(2), entry(3))
    sent = [rig.ask("metered", width=3) in rig.sent for _ in range(4)]
    assert sent == [True, True, False, False]  # 8 / 3 = 2.67
    assert [done(rig, rig.ask("metered", customer="one", width=1)) for _ in range(9)] == [True] * 8 + [False]


def test_slice_grows_by_the_room_and_falls_back(rig):
    def share(customer):
        return rig.gateway.meter.share(customer, rig.now)

    rig.finish(rig.ask("metered"), used=40.0)
    customer = rig.gateway.meter.customers["metered", "c"]
    assert share(customer) == (1.0 + 0.1 * 0.6) / 2
    rig.finish(rig.ask("metered"), used=120.0)
    assert share(customer) == 0.5
    rig.finish(rig.ask("metered"), used=0.0)
    assert share(customer) == 0.55
    rig.run(4001.0)  # no news for more than four periods
    rig.ask("free")
    assert share(customer) == 0.5


def test_guess_is_settled_on_the_answer(rig):
    name = rig.ask("metered", units=2)
    rig.finish(name, units=5.0)
    assert rig.gateway.meter.customers["metered", "c"].excess == 5000.0


def test_held_request_whose_client_left_gives_its_units_back(rig):
    names = [rig.ask("metered") for _ in range(6)]
    rig.do(ClientGone(names[5]))
    assert rig.gateway.meter.customers["metered", "c"].excess == 5000.0
    rig.run(4000.0)
    assert names[5] not in rig.sent


def test_in_flight_cap_is_sliced_and_parks_what_is_beyond(rig):
    names = [rig.ask("capped") for _ in range(3)]
    assert [name in rig.sent for name in names] == [True, True, False]
    rig.finish(names[0])
    assert names[2] in rig.sent


def test_in_flight_slice_is_at_least_one():
    rig = rig_with(gateways=4)
    rig.servers(entry(1))
    assert rig.ask("only-cap", width=4) in rig.sent
    assert rig.ask("only-cap", width=4) not in rig.sent


def test_plan_without_limits_is_not_held(rig):
    assert all(done(rig, rig.ask("free")) for _ in range(50))


def test_unknown_plan_or_class_is_refused_and_logged_once(rig):
    first = [rig.ask("nope"), rig.ask("nope"), rig.ask("free", class_name="nope")]
    assert [rig.answers[name] for name in first] == ["Refuse"] * 3


def test_customers_are_forgotten_once_as_new(rig):
    for number in range(3000):
        name = rig.ask("metered", customer=f"c{number}")
        rig.finish(name, Status.OK)
        rig.run(10.0)
    assert len(rig.gateway.meter.customers) < 600
    assert len(rig.gateway.flights) == 0


def test_customer_that_can_not_be_forgotten_keeps_none_behind_it(rig):
    rig.ask("metered", customer="still out")
    for number in range(3000):
        name = rig.ask("metered", customer=f"c{number}")
        rig.finish(name, Status.OK)
        rig.run(10.0)
    assert len(rig.gateway.meter.customers) < 600 and ("metered", "still out") in rig.gateway.meter.customers


def test_customers_known_at_once_are_bounded_and_none_loses_what_it_owes_its_ceiling():
    plans = (Plan("slow", rate=0.001, burst=2.0), Plan("tight", ceiling_rate=0.001, ceiling_burst=2.0))
    rig = rig_with(plans=plans, limits=replace(SETTINGS.limits, max_customers=50))
    rig.servers(entry(1), entry(2))
    done(rig, rig.ask("slow"))
    rig.run(4_000_000.0)  # the ceilings have filled since the start
    assert all(done(rig, rig.ask("tight", customer=f"t{number}")) for number in range(20))
    for number in range(2000):
        done(rig, rig.ask("slow", customer=f"c{number}"))
        assert len(rig.gateway.meter.customers) <= 50 + 20 + 1
    known = rig.gateway.meter.customers
    assert all(("tight", f"t{number}") in known for number in range(20))
    assert ("slow", "c1999") in known and ("slow", "c0") not in known


def test_request_that_is_done_leaves_no_timer_behind(rig):
    for _ in range(20):
        name = rig.ask("free")
        rig.finish(name)
    assert not rig.gateway.timers and not rig.gateway.flights


def test_hold_past_the_shortest_aim_is_a_refusal():
    # aim 500 ms, first mean latency 100 ms: a hold may last 400 ms, two units at 5 a second
    rig = rig_with(classes=(*CLASSES, RequestClass("brief", 500.0, 4000.0, Effect.SAFE)))
    rig.servers(entry(1), entry(2))
    for _ in range(4):
        rig.ask("metered")
    assert rig.ask("metered", "brief", units=2) in rig.answers
    assert rig.ask("metered", "brief", units=1) not in rig.answers


def dear_rig(over_cost: float = 1.3) -> Rig:
    plans = (replace(SETTINGS.plans[0], over_cost=over_cost), *SETTINGS.plans[1:])
    rig = rig_with(classes=(*CLASSES, DEAR), plans=plans)
    rig.servers(entry(1), entry(2))
    return rig


def test_the_worthiest_class_has_a_larger_burst_and_the_floor_stays_for_the_least():
    # burst 4 for the least worthy; 4 x (1 + 0.25 x 3 / 4) = 4.75 for the other: of the fifth unit
    # 0.25 wait, 50 ms at 5 a second
    rig = dear_rig()
    assert all(rig.ask("metered") in rig.sent for _ in range(4))
    dear = rig.ask("metered", "dear")
    assert dear not in rig.sent
    rig.run(51.0)
    assert dear in rig.sent


def test_the_worthier_have_more_where_it_costs_nothing_beyond_the_quota():
    # 4 x (1 + (0.25 + 0.5) x 3 / 4) = 6.25
    rig = dear_rig(over_cost=0.0)
    assert all(rig.ask("metered", "dear") in rig.sent for _ in range(6))
    assert rig.ask("metered", "dear") not in rig.sent


# A customer's part of its quota, by what is seen of its use here: width 4, rate 10, burst 8. Even parts hold
# 2, and one more as the bucket has drained below it since the last.


def busy_rig(seconds: int, used: float, over_cost: float = 0.0) -> Rig:
    """After so many seconds of two units each, all of them here, and readings of so many percent."""
    rig = rig_with(gateways=4, plans=(replace(SETTINGS.plans[0], over_cost=over_cost), *SETTINGS.plans[1:]))
    rig.servers(entry(1), entry(2))
    for _ in range(2 * seconds):
        name = rig.ask("metered", width=4)
        rig.finish(name, used=used)
        rig.run(500.0)
    return rig


def at_once(rig: Rig) -> int:
    """How many more are sent at once."""
    names = [rig.ask("metered", width=4) for _ in range(12)]
    return sum(name in rig.sent for name in names)


@pytest.mark.parametrize(
    "seconds, used, over_cost, quiet_ms, sent",
    [
        (60, 20.0, 0.0, 0.0, 9),  # all of its use is seen here: all of the quota
        (60, 20.0, 1.3, 0.0, 3),  # where it is dear beyond the quota, the even part
        (1, 20.0, 0.0, 0.0, 2),  # not yet shown for long
        (60, 100.0, 0.0, 0.0, 3),  # no room
        (60, 20.0, 0.0, 4100.0, 3),  # no news
        (60, 80.0, 0.0, 0.0, 3),  # most of its use is seen elsewhere
    ],
)
def test_a_slice_is_the_part_of_the_use_that_is_seen_here(seconds, used, over_cost, quiet_ms, sent):
    rig = busy_rig(seconds, used, over_cost)
    rig.run(quiet_ms)
    assert at_once(rig) == sent


def test_a_sudden_reading_ends_the_growth_at_once():
    rig = busy_rig(60, 20.0)
    rig.finish(rig.ask("metered", width=4), used=300.0)
    rig.run(500.0)
    assert at_once(rig) == 3


def test_who_asks_for_more_than_the_whole_quota_here_has_the_even_part():
    # five times the rate: nine go at once, and until the twelfth is asked for the whole rate drains them
    rig = busy_rig(60, 20.0)
    names = []
    for _ in range(100):
        names.append(rig.ask("metered", width=4))
        rig.run(20.0)
    assert 9 <= sum(name in rig.sent for name in names) <= 13


def test_what_is_beyond_the_burst_is_left_to_the_worthier():
    # the shortest aim is 1000 ms: the least worthy is held for 100 ms, half a unit at 5 a second
    rig = dear_rig()
    for _ in range(4):
        rig.ask("metered")
    assert rig.answers[rig.ask("metered")] == "Refuse"
    rig.run(150.0)
    assert rig.ask("metered") not in rig.answers  # a quarter of a unit is missing
    assert rig.ask("metered", "dear") not in rig.answers


# Thin slices: rate 10, burst 8 over 60 gateways hold 0.13 of a request of one unit and drain it in 6 s


def thin_rig(width: int = 60) -> Rig:
    rig = Rig(replace(SETTINGS, gateways=60))
    rig.servers(entry(1), entry(2))
    rig.width = width
    return rig


def ask_thin(rig, **more) -> str:
    rig.count += 1
    name = f"r{rig.count}"
    rig.do(Request(name, "safe", "metered", "c", 4000.0, 1, rig.width, **more))
    return name


@pytest.mark.parametrize("width, answer", [(60, "Refuse"), (2, None)])
def test_a_marked_retry_is_refused_under_a_thin_slice_only(width, answer):
    rig = thin_rig(width)
    assert rig.answers.get(ask_thin(rig, is_retry=True)) == answer


def test_room_of_the_last_reading_grows_the_burst_of_a_thin_slice(monkeypatch):
    monkeypatch.setattr(meter, "FEW", 0.0)
    rig = thin_rig()
    rig.finish(ask_thin(rig), used=40.0)  # burst 1 x (1 + 2 x 0.6) = 2.2 of the drained slice
    rig.run(5000.0)  # older than four meter periods, not than one drained request
    assert ask_thin(rig) in rig.sent
    rig.run(100.0)
    assert rig.answers[ask_thin(rig)] == "Refuse", "three asked: more than the slice and two requests"


@pytest.mark.parametrize(
    "used, width, more", [(0.0, 60, True), (20.0, 60, True), (100.0, 60, False), (0.0, 3, False)]
)
def test_room_lifts_the_part_of_many_gateways_to_that_of_few(monkeypatch, used, width, more):
    at_once = []
    for few in (meter.FEW, 0.0):
        monkeypatch.setattr(meter, "FEW", few)
        rig = thin_rig(width)
        for _ in range(20):  # readings of as many periods
            name = ask_thin(rig)
            if name in rig.sent:
                rig.finish(name, used=used)
            rig.run(1000.0)
        names = [ask_thin(rig) for _ in range(20)]
        at_once.append(sum(name in rig.sent for name in names))
    assert (at_once[0] > at_once[1]) is more


def test_a_thin_slice_over_quota_or_without_news_has_the_floor():
    for used, wait in ((100.0, 500.0), (40.0, 6100.0)):
        rig = thin_rig()
        rig.finish(ask_thin(rig), used=used)
        rig.run(wait)
        second, third = ask_thin(rig), ask_thin(rig)
        assert rig.answers[third] == "Refuse"
        assert (second in rig.sent) == (wait > 6000.0)  # the first has drained by then


def test_all_gateways_together_pass_little_of_a_customer_far_over_its_quota():
    # 60 gateways, 600 s' worth of quota asked in 20 s, each refusal tried again elsewhere
    passed = 0
    for index in range(60):
        rig = Rig(replace(SETTINGS, gateways=60, index=index), seed=index)
        rig.servers(entry(1), entry(2))
        rig.width = 60
        for step in range(100):
            name = ask_thin(rig, is_retry=step % 2 == 1)
            if name in rig.sent:
                rig.finish(name, used=300.0)
            rig.run(200.0)
        passed += len(rig.sent)
    # each: one at first, and what 10 / 60 a second drains in 20 s
    assert passed <= 60 * (1 + 20 * 10 / 60 + 1)


def test_a_shared_counter_lifts_the_slice_while_it_is_news_and_never_lowers_the_floor(rig):
    def burst() -> float:
        return rig.gateway.meter._burst(customer, plan, rig.gateway.now)

    rig.ask("metered")
    customer, plan = rig.gateway.meter.customers["metered", "c"], rig.gateway.meter.plans["metered"]
    floor = burst()
    rig.do(Reading("metered", "c", 1.0, 500.0))
    assert burst() == 2.0 * floor  # all of the quota in place of one of two gateways' halves
    rig.do(Reading("metered", "c", 0.1, 500.0))
    assert burst() == floor
    rig.do(Reading("metered", "c", 1.0, 500.0))
    rig.run(500.0)
    rig.do(Reading("metered", "stranger", 1.0, 500.0))
    assert burst() == floor and ("metered", "stranger") not in rig.gateway.meter.customers
