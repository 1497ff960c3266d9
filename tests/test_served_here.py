"""Requests that the host serves itself, in the decisions alone: metered, held, capped; servers untouched."""

from conftest import PLANS, Rig, entry, rig_with
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft import ClientGone, Outcome, Plan, Refuse, Request, Send, Status, Stopping
from brackenloft.interface import HERE
from brackenloft.policy.gateway import MOST_PARKED


def ask(rig: Rig, plan="free", class_name="safe", units=1.0, width=2, patience=4000.0) -> str:
    rig.count += 1
    name = f"h{rig.count}"
    rig.do(Request(name, class_name, plan, "c", patience, units, width, served_here=True))
    return name


def done(rig: Rig, name: str, status=Status.OK, units=None) -> list:
    return rig.do(Outcome(name, 0, HERE, status, 0.0, True, final_units=units))


def test_goes_to_the_host_though_no_server_is_known_and_sets_no_timer():
    rig = Rig()
    actions = rig.do(Request("h", "unsafe", "free", "c", 4000.0, served_here=True))
    assert actions == [Send("h", HERE)] and rig.gateway.flights
    assert done(rig, "h") == [] and not rig.gateway.flights and not rig.gateway.timers


def test_tells_nothing_about_servers(rig):
    gateway = rig.gateway
    fleet = gateway.fleet
    before = fleet.sends, fleet.pool, dict(fleet.latency), gateway.retries
    for status in (Status.OK, Status.ERROR, Status.RESET):
        done(rig, ask(rig), status)
    rig.run(10_000.0)
    assert (fleet.sends, fleet.pool, dict(fleet.latency), gateway.retries) == before
    assert not fleet.marks and not any(server.marks for server in fleet.servers.values())


def test_others_are_never_sent_to_the_host(rig):
    for _ in range(50):
        assert HERE not in rig.sent[rig.ask()]


def test_quota_is_one_for_both_ways_and_a_refusal_names_it(rig):
    for _ in range(2):
        done(rig, ask(rig, "metered"))
        rig.finish(rig.ask("metered"))
    actions = []
    while not any(isinstance(action, Refuse) for action in actions):
        rig.count += 1
        actions = rig.do(Request(f"x{rig.count}", "safe", "metered", "c", 100.0, 1.0, 2, served_here=True))
    (refusal,) = [action for action in actions if isinstance(action, Refuse)]
    assert refusal.over_quota


def test_held_until_the_bucket_has_drained_and_then_sent():
    rig = rig_with(plans=(Plan("thin", rate=10.0, burst=1.0),))
    done(rig, ask(rig, "thin", width=1))
    held = ask(rig, "thin", width=1)
    assert held not in rig.sent
    rig.run(150.0)
    assert rig.sent[held] == [HERE]


def test_in_flight_cap_counts_what_the_host_has_open_and_the_aim_ends_the_wait():
    rig = Rig()
    first = ask(rig, "only-cap")
    second = ask(rig, "only-cap")  # the slice of two over two gateways is one
    assert first in rig.sent and second not in rig.sent
    done(rig, first)
    assert rig.sent[second] == [HERE]
    third = ask(rig, "only-cap")
    rig.run(2100.0)  # the aim has passed
    assert rig.answers[third] == "Refuse" and second not in rig.answers
    done(rig, second)
    (customer,) = rig.gateway.meter.customers.values()
    assert customer.out == 0


def test_ceiling_holds_for_it(rig):
    rig.run(1000.0)  # the ceiling has filled a little
    names = [ask(rig, "ceiling") for _ in range(40)]
    assert 0 < sum(name in rig.sent for name in names) < 20


def test_granted_work_has_no_deadline_and_stopping_does_not_end_it(rig):
    name = ask(rig)
    rig.do(Stopping(100.0))
    rig.run(10_000.0)
    assert name not in rig.answers and rig.gateway.flights
    done(rig, name)
    assert not rig.gateway.flights


def test_guess_is_settled_by_the_outcome(rig):
    name = ask(rig, "metered", units=4.0)
    (customer,) = rig.gateway.meter.customers.values()
    before = customer.excess
    done(rig, name, units=1.0)
    assert customer.excess == before - 3000.0


def test_what_waits_is_bounded_while_no_server_is_known():
    rig = rig_with(plans=(Plan("one", max_in_flight=1),))
    names = [ask(rig, "one", width=1) for _ in range(MOST_PARKED + 5)]
    assert len(rig.gateway.parked) == MOST_PARKED
    assert sum(name in rig.answers for name in names) == 4


def test_gone_before_it_is_sent_gives_the_excess_back(rig):
    for name in [ask(rig, "only-cap"), ask(rig, "only-cap")]:
        rig.do(ClientGone(name))
    assert len(rig.gateway.flights) == 1  # the one that the host has in hand


def test_allowance_is_the_bucket_as_it_stands_and_changes_nothing(rig):
    fresh = rig.gateway.allowance("metered", "nobody", 2)
    assert (fresh.left, fresh.burst, fresh.rate, fresh.full_in_ms) == (4.0, 8.0, 10.0, 0.0)
    ask(rig, "metered", units=3.0)
    (customer,) = rig.gateway.meter.customers.values()
    state = customer.excess, customer.touched
    now = rig.gateway.allowance("metered", "c", 2)
    assert now.left == 1.0 and now.full_in_ms == 600.0
    assert (customer.excess, customer.touched) == state
    assert rig.gateway.allowance("free", "c").rate == 0.0


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(("ask", "done", "gone", "wait")),
            st.integers(0, 30),
            st.sampled_from([plan.name for plan in PLANS]),
        ),
        max_size=60,
    )
)
def test_counts_are_exact_after_any_order_of_events(steps):
    rig, names = Rig(), []
    rig.servers(entry(1), entry(2))
    for what, number, plan in steps:
        if what == "ask":
            names.append(ask(rig, plan))
        elif what == "wait":
            rig.run(number * 20.0)
        elif names and what == "done" and names[number % len(names)] in rig.sent:
            done(rig, names[number % len(names)])
        elif names and what == "gone":
            rig.do(ClientGone(names[number % len(names)]))
        out = sum(len(flight.out) for flight in rig.gateway.flights.values())
        assert sum(customer.out for customer in rig.gateway.meter.customers.values()) == out
    for name in names:
        done(rig, name)
    rig.run(20_000.0)
    for name in names:
        done(rig, name)
    assert not rig.gateway.flights and not rig.gateway.parked
    assert all(customer.out == 0 for customer in rig.gateway.meter.customers.values())
    assert all(len(sent) == 1 for sent in rig.sent.values())
