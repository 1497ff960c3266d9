"""Budget, roll and least rate against plain models; no sockets, no clock."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft.admission.budget import Budget, Side
from brackenloft.admission.command_admission import Ask, CommandAdmission, CommandRoom
from brackenloft.admission.rate import Least, Pace
from brackenloft.admission.roll import Roll, Standing
from brackenloft.admission.room import relief
from brackenloft.admission.turns import AHEAD, depth
from brackenloft.policy.crowd import CROWD_SEEN, FAIR_LEAST, Crowd

SIDES = st.sampled_from(list(Side))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.integers(1, 12),
    st.integers(1, 12),
    st.integers(0, 12),
    st.integers(0, 4),
    st.lists(st.tuples(SIDES, st.booleans()), max_size=120),
)
def test_budget_is_never_passed_and_a_floor_is_always_there(clients, servers, lent, spare, steps):
    total = clients + servers + lent
    floors = {Side.CLIENTS: clients, Side.SERVERS: servers}
    budget, held = Budget(total, floors, spare), dict.fromkeys(Side, 0)
    for side, takes in steps:
        if takes:
            free = budget.free(side)
            assert budget.take(side) == (free > 0)
            held[side] += free > 0
            if held[side] <= floors[side]:
                assert free > 0 or held[side] == floors[side]  # what the floor promises was there
        elif held[side]:
            budget.give(side)
            held[side] -= 1
        assert budget.taken == held and sum(held.values()) <= total
        for one in Side:
            assert budget.free(one) <= total - sum(held.values())
            if held[one] < floors[one]:
                assert budget.free(one) > 0
            if budget.owed(one):
                assert not budget.free(one) and held[one] > floors[one]
            assert budget.limit(one) >= floors[one]


def test_what_one_side_leaves_the_other_may_have_but_for_some_to_spare():
    budget = Budget(20, {Side.CLIENTS: 8, Side.SERVERS: 4}, spare=2)
    while budget.take(Side.CLIENTS):
        pass
    assert budget.taken[Side.CLIENTS] == 16 and budget.free(Side.SERVERS) == 4
    for _ in range(4):
        assert budget.take(Side.SERVERS)
    assert not budget.take(Side.SERVERS) and budget.owed(Side.CLIENTS) == 2
    for _ in range(2):
        budget.give(Side.CLIENTS)
        assert not budget.take(Side.SERVERS)  # some are to spare for clients
    budget.give(Side.CLIENTS)
    assert budget.take(Side.SERVERS)


@pytest.mark.parametrize("floors", [(0, 1), (1, 0), (6, 5)])
def test_floors_that_do_not_go_into_the_budget_are_an_error(floors):
    with pytest.raises(ValueError, match="floors"):
        Budget(10, dict(zip(Side, floors, strict=True)))
    with pytest.raises(ValueError, match="hold none"):
        Budget(10, {Side.CLIENTS: 1, Side.SERVERS: 1}).give(Side.CLIENTS)


LEAST = Least(rate=100.0, grace_s=2.0, span_s=3.0)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.tuples(st.integers(1, 40), st.integers(0, 200)), max_size=60), st.integers(101, 400))
def test_who_keeps_above_the_rate_is_never_too_slow(gaps, rate):
    """Each gap of tenths of a second below the grace brings at least what the rate asks for it."""
    pace, now = Pace(LEAST, 0.0), 0.0
    for tenths, more in gaps:
        span = min(tenths, 19) / 10.0
        now += span
        assert not pace.too_slow(now)
        pace.moved(int(rate * span) + 1 + more, now)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 100_000), st.integers(1, 90))
def test_trickle_after_any_burst_is_cut_within_a_stated_time(burst, rate):
    pace, now = Pace(LEAST, 0.0), 0.0
    pace.moved(burst, 0.0)
    while not pace.too_slow(now):
        now += 0.1
        pace.moved(rate // 10, now)
        assert now <= LEAST.span_s / (1.0 - rate / LEAST.rate) + LEAST.grace_s + 1.0
    assert now > LEAST.grace_s


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.floats(0.0, 50.0), st.floats(0.0, 50.0)), max_size=20))
def test_time_that_we_wait_ourselves_counts_for_nothing(spans):
    pace, now, own = Pace(LEAST, 0.0), 0.0, 0.0
    for ours, theirs in spans:
        pace.pause(now)
        pace.pause(now + ours / 2.0)
        assert not pace.too_slow(now + ours)
        now += ours
        pace.resume(now)
        now, own = now + theirs, own + theirs
        assert pace.too_slow(now) == (own > LEAST.grace_s) or abs(own - LEAST.grace_s) < 1e-6
    pace.excuse(1000.0)
    assert not pace.too_slow(now)


@pytest.mark.parametrize("figures", [(0.0, 1.0, 1.0), (1.0, -1.0, 1.0), (1.0, 1.0, 0.0)])
def test_rate_that_is_none_is_an_error(figures):
    with pytest.raises(ValueError, match="least rate"):
        Least(*figures)


FRESH_S, IDLE_S, PEERS = 1.0, 8.0, 12
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("rest", "stir", "room", "wait")),
        st.integers(0, PEERS - 1),
        st.sampled_from(list(Standing)),
    ),
    max_size=150,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(EVENTS)
def test_room_is_made_by_who_may_be_closed_only_and_nobody_is_passed_over_for_ever(events):
    roll, now, model = Roll(), 0.0, {}
    for what, number, standing in events:
        if what == "rest":
            roll.rests(number, standing, now)
            model[number] = (standing, now)
        elif what == "stir":
            roll.stirs(number)
            model.pop(number, None)
        elif what == "wait":
            now += number / 2.0
        else:
            most = number % 4
            picked = list(roll.closable(now, FRESH_S, IDLE_S, most))
            limits = {Standing.FRESH: FRESH_S, Standing.ONCE: IDLE_S, Standing.IDLE: IDLE_S}
            due = [peer for peer, (stands, since) in model.items() if since < now - limits[stands]]
            assert set(picked) <= set(due) and len(picked) == min(most, len(due))
            rank = [list(Standing).index(model[peer][0]) for peer in picked]
            assert rank == sorted(rank)
            for peer in picked:
                stands, since = model[peer]
                earlier = [p for p, row in model.items() if row[0] is stands and row[1] < since]
                assert set(earlier) <= set(picked)  # the longest first
                roll.stirs(peer)
                del model[peer]
        assert all((peer in roll) == (peer in model) for peer in range(PEERS))


def test_one_that_can_not_be_closed_after_all_lets_the_others_go_first():
    roll = Roll()
    for peer in range(3):
        roll.rests(peer, Standing.ONCE, float(peer))
    roll.later(0)
    assert list(roll.closable(100.0, FRESH_S, IDLE_S, 2)) == [1, 2]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(st.integers(1, 6), min_size=3, max_size=3),
    st.integers(0, 12),
    st.integers(0, 3),
    st.lists(st.tuples(st.integers(0, 2), st.booleans()), max_size=80),
)
def test_every_front_keeps_its_floor_beside_the_others(floors, lent, spare, steps):
    budget = Budget(sum(floors) + lent, dict(enumerate(floors)), spare)
    for side, takes in steps:
        if takes:
            below = budget.taken[side] < floors[side]
            assert budget.take(side) or not below
        elif budget.taken[side]:
            budget.give(side)
        assert sum(max(budget.taken[one], floors[one]) for one in range(3)) <= budget.total


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.dictionaries(st.integers(), st.integers(1, 50), max_size=8), st.integers(0, 100), st.integers(0, 50)
)
def test_room_is_made_by_the_largest_and_by_no_more_than_needed(holders, most, owed):
    held = owed + sum(holders.values())
    gone = relief(held, most, holders)
    left = [size for peer, size in holders.items() if peer not in gone]
    freed = [holders[peer] for peer in gone]
    assert held - sum(freed) <= most or not left
    assert not freed or held - sum(freed[:-1]) > most
    assert not freed or not left or min(freed) >= max(left)


@settings(derandomize=True, max_examples=30, deadline=None)
@given(st.integers(6, 20), st.integers(2, 8), st.floats(0.87, 0.95), st.integers(0, 9))
def test_crowd_of_one_customer_leaves_the_others_their_shares(others, times, scarcity, seed):
    random = Random(seed)
    crowd, kept, asked = Crowd(), {"hog": 0, "others": 0}, {"hog": 0, "others": 0}
    arrivals = ["hog"] * (times * others) + list(range(others))  # it asks so many times as often as each
    for turn in range(1200):
        who = random.choice(arrivals)
        name = "hog" if who == "hog" else "others"
        away = crowd.turns_away(1.0, who, 1.0, scarcity, 50.0, turn * 10.0, random.random)
        asked[name] += turn >= CROWD_SEEN
        kept[name] += not away and turn >= CROWD_SEEN
        assert sum(count for count, _ in crowd.asked.values()) == len(crowd.last) <= CROWD_SEEN
        assert abs(crowd.weights - len(crowd.asked)) < 1e-6
    assert kept["others"] / max(1, asked["others"]) > kept["hog"] / max(1, asked["hog"])


def test_as_many_of_a_crowd_come_in_as_places_come_free_and_they_are_the_worthiest():
    random, crowd, kept = Random(1), Crowd(), {1.0: 0, 3.0: 0}
    for turn in range(2200):  # 100 a second for 40 places a second
        value = 3.0 if turn % 4 == 0 else 1.0
        away = crowd.turns_away(value, turn, 1.0, 0.9, 40.0, turn * 10.0, random.random)
        kept[value] += not away and turn >= CROWD_SEEN
    assert kept[3.0] == 500 and 250 < kept[1.0] < 350
    assert not crowd.turns_away(0.1, "c", 1.0, 0.4, 40.0, 22_000.0, random.random)  # there are places


def test_shares_in_a_crowd_go_by_the_plans_rates():
    crowd = Crowd()
    for turn in range(CROWD_SEEN):
        who, rate = ("large", 50.0) if turn % 2 else (f"small {turn}", 0.5)
        crowd.turns_away(1.0, who, rate, 0.5, 50.0, float(turn), lambda: 0.99)
    assert crowd._fair("large", 50.0) >= 1.0  # half of what is asked, and half of the rates
    assert crowd._fair("large", 0.5) < 0.1
    assert crowd._fair("new", 0.5) >= FAIR_LEAST


LONGEST = 400  # bytes of a command, and of the reserve


@given(
    st.lists(st.tuples(st.integers(0, 5), st.integers(1, LONGEST)), max_size=40),
    st.integers(0, 600),
    st.integers(0, 300),
)
def test_commands_always_become_whole_within_their_room_however_short_the_memory_is(sizes, usual, long):
    """Each is granted all that it asked for, or waits; what was granted fits, but for one in the reserve."""
    commands, left, reserved = CommandAdmission(64), dict(sizes), None
    granted = {}
    for peer, size in left.items():
        commands.ask(peer, Ask(size, 0))
    for _ in range(len(left) + 1):
        room = {False: usual, True: long}
        for peer, size in granted.items():
            if peer != reserved:
                room[size > 64] -= size
        for grant in commands.grants(CommandRoom(room[False], room[True], reserved is None)):
            assert grant.ask.size == left[grant.peer] and grant.peer in commands
            granted[grant.peer] = grant.ask.size
            if grant.reserved:
                assert reserved is None and grant.ask.size > 64
                reserved = grant.peer
        for is_long, most in ((False, usual), (True, long)):
            sizes_of = [size for peer, size in granted.items() if (size > 64) is is_long and peer != reserved]
            assert sum(sizes_of) <= most
        if granted:
            peer = next(iter(granted))
            reserved = None if peer == reserved else reserved
            assert commands.done(peer) and not commands.done(peer) and peer not in commands
            del granted[peer], left[peer]
    assert all(size <= 64 and size > usual for size in left.values())  # nothing has room for it, ever


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(1, 64), st.integers(0, 100), st.integers(0, 100), st.integers(0, 40))
def test_even_parts_keep_the_servers_busy_and_nobody_out(most, parked, at_servers, asking):
    part = depth(most, parked, parked + at_servers, asking)
    assert 1 <= part <= most
    if not parked or asking < 2:
        assert part == most
    elif part < most:
        assert asking * (part + 1) > AHEAD * at_servers  # the most that fits
        assert part == 1 or asking * part <= AHEAD * at_servers


def test_the_smallest_command_that_waits_goes_first_and_the_reserve_goes_to_who_has_waited_longest():
    commands = CommandAdmission(64)
    for peer, size in (("oldest", 300), ("longer", 350), ("smaller", 200), ("usual", 60)):
        commands.ask(peer, Ask(size, 10))
    room = CommandRoom(usual=100, long=200, reserve=True)
    assert [(grant.peer, grant.reserved) for grant in commands.grants(room)] == [
        ("usual", False),
        ("smaller", False),
        ("oldest", True),
    ]
    assert "longer" in commands.waiting and commands.granted["smaller"] == 200
    commands.ask("smaller", Ask(150, 20))  # it has more than that
    assert "smaller" not in commands.waiting
