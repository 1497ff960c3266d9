"""Leases: who holds one by which clock, and what a holder that was stopped may still do."""

import asyncio
import random

import pytest
import redis.asyncio as redis
from fakes import run
from hypothesis import given, settings
from hypothesis import strategies as st
from leasing import ME, OTHER, fleet

from brackenloft.fleet.leases import model
from brackenloft.fleet.leases.fence import PlaceError, StaleToken, fenced
from brackenloft.fleet.leases.lease import LeaseOver
from brackenloft.fleet.leases.model import MOST_LOST, Lease, Me
from brackenloft.fleet.leases.terms import Pace, Terms, View
from brackenloft.fleet.registers.model import Held, NonsenseError
from brackenloft.standins.counter import Counter

# ---- Pure: leases


@given(
    st.floats(0.0, 0.05),
    st.floats(-1.0, 1.0),
    st.floats(-1.0, 1.0),
    st.floats(0.0, 1e4),
    st.floats(0.0, 1e4),
    st.floats(100.0, 1e5),
)
def test_a_holder_stops_before_another_begins_whatever_its_messages_took(
    drift, mine, theirs, took_ms, seen_ms, length
):
    """Asked at true time 0, chosen after ``took_ms``, seen by another ``seen_ms`` after that.

    ``mine`` and ``theirs``: how the clocks run, as parts of what they may run apart by.
    """
    terms = Terms(length, drift)
    my_rate, their_rate = 1.0 + mine * drift / 2.0, 1.0 + theirs * drift / 2.0
    end = terms.until(0.0, length) / my_rate
    begin = terms.free_at((took_ms + seen_ms) * their_rate, length) / their_rate
    assert end <= begin + 1e-6


DOES = ["take", "renew", "begin", "save", "end", "release", "want", "pause", "resume", "send_away", "lives"]
STEPS = st.lists(st.tuples(st.sampled_from(DOES), st.sampled_from([ME, OTHER])), max_size=30)


@given(STEPS, st.integers(0, 1000))
def test_tokens_only_grow_and_what_is_not_ours_is_not_changed_by_us(steps, floor):
    lease, tokens = None, {}
    for what, me in steps:
        token = tokens.get(me.who, -1)
        if what == "take":
            after = model.take(lease, me, 1000.0, floor)
            assert after.token > (lease.token if lease else floor) and after.holder == me.who
            tokens[me.who] = after.token
        elif what in ("want", "lives"):
            after = getattr(model, what)(lease, me)
        elif what == "pause":
            after = model.pause(lease, "", floor)
        elif what in ("resume", "send_away"):
            after = getattr(model, what)(lease)
        else:
            more = {"save": ("c",), "end": (True, "c")}.get(what, ())
            after = getattr(model, what)(lease, me, token, *more)
            assert after is None or (lease.holder == me.who and lease.token == token)
        if after is not None:
            assert lease is None or after.token >= lease.token
            assert model.read(Held(1, "x", model.write(after))) == after
            lease = after


@pytest.mark.parametrize(
    "data",
    [
        b"{}",
        b"[]",
        b"\xff",
        b'{"token":-1}',
        b'{"token":1,"form":2}',
        b'{"token":1,"length_ms":0}',
        b'{"token":1e400}',
    ],
)
def test_what_no_gateway_writes_is_no_lease(data):
    with pytest.raises(NonsenseError):
        model.read(Held(1, "x", data))


def test_a_task_that_kills_its_holders_is_paused_and_one_that_lives_takes_it_back():
    lease = None
    for number in range(MOST_LOST):
        me = Me(f"{number}-x", number)
        lease = model.take(lease, me, 1000.0, 0)
        assert not lease.paused
        lease = model.begin(lease, me, lease.token)
    lease = model.take(lease, ME, 1000.0, 0)
    assert lease.poison and str(MOST_LOST) in lease.paused
    assert model.begin(lease, ME, lease.token) is None
    alive = model.lives(lease, Me("1-x", 1))
    assert not alive.paused and len(alive.lost) == MOST_LOST - 1
    assert model.resume(lease).lost == () and not model.resume(lease).paused
    by_hand = model.pause(alive, "maintenance", 0)
    assert model.lives(by_hand, Me("2-x", 2)).paused == "maintenance"


def test_only_its_holder_gives_a_sign_of_life():
    view, terms = View(), Terms(1000.0, 0.01)
    held = model.beats(model.take(None, ME, 1000.0, 0))
    view.saw(1, held, 100.0)
    view.saw(2, model.want(held, OTHER), 500.0)
    assert view.free_at(terms) == 100.0 + 1010.0
    view.saw(3, model.beats(held), 600.0)
    assert view.free_at(terms) == 600.0 + 1010.0
    view.saw(3, None, 900.0)  # no news
    assert view.lease is not None


@given(st.floats(-0.2, 0.2), st.integers(0, 1 << 30))
def test_a_clock_beyond_the_bound_is_told_once_it_can_be_and_one_within_never(apart, seed):
    dice, pace, drift = random.Random(seed), Pace(0.01), 0.01
    for step in range(120):
        true = 1e6 + 500.0 * step
        for store in ("s0", "s1", "s2"):
            there, back = dice.uniform(0.1, 3.0), dice.uniform(0.1, 3.0)
            clock = float("nan") if dice.random() < 0.1 else true + there
            pace.heard(store, true * (1.0 + apart), (true + there + back) * (1.0 + apart), clock)
    if abs(apart) <= drift:
        assert pace.beyond() == 0.0
    elif abs(apart) > drift + 0.01:
        assert (pace.beyond() > 0.0) == (apart > 0.0) and pace.beyond() != 0.0


def test_one_store_whose_clock_is_set_tells_nothing_against_us():
    pace = Pace(0.01)
    for step in range(40):
        at = 1000.0 * step
        for store, clock in (("s0", at * 1.5), ("s1", at), ("s2", at)):
            pace.heard(store, at, at + 1.0, clock)
    assert pace.apart["s0"] < 0.0 and pace.beyond() == 0.0


# ---- On loopback


def test_one_holds_and_another_only_once_it_was_not_renewed():
    async def test():
        async with fleet(ME, OTHER) as ((mine, theirs), clock, _):
            await mine.look(["t"])
            held = await mine.take("t")
            assert held.token == 1001 and held.left_ms() > 0.0
            await theirs.look(["t"])
            assert await theirs.take("t") is None
            clock.ms += 50_000.0
            assert await held.renew()
            clock.ms += 11_000.0
            await theirs.look(["t"])
            assert await theirs.take("t") is None
            clock.ms += 61_000.0
            assert held.left_ms() <= 0.0
            with pytest.raises(LeaseOver):
                async with held.act():
                    pass
            taken = await theirs.take("t")
            assert taken.token == 1002 and not await held.renew() and held.lost
            await taken.release(to=0)
            await mine.look(["t"])
            assert mine.views("t").lease.next == 0 and (await mine.take("t")).token == 1003

    run(test())


def test_a_renewal_that_could_not_be_told_is_counted_from_when_it_was_asked_first():
    async def test():
        async with fleet(ME) as ((mine,), clock, _):
            await mine.look(["t"])
            held, plain = await mine.take("t"), mine.registers.change
            until = held.until_ms
            clock.ms += 10.0

            async def slow(*words):
                clock.ms += 5000.0  # its answer takes so long
                return await plain(*words)

            mine.registers.change = slow
            asked = clock.ms
            assert await held.renew()
            assert held.until_ms == asked + 60_000.0 * 0.99 > until

    run(test())


def test_an_act_ends_with_the_lease_and_goes_on_while_it_is_renewed():
    async def test():
        async with fleet(ME, length_ms=600.0) as ((mine,), clock, _):
            await mine.look(["t"])
            held = await mine.take("t")
            seen = []
            with pytest.raises(LeaseOver):
                async with held.act() as act:
                    await held.renew()
                    act.check()
                    seen.append(act.token)
                    await asyncio.sleep(60.0)
            clock.ms += 600.0
            with pytest.raises(LeaseOver):
                act.check()
            assert seen == [held.token]

    run(test())


def test_a_place_refuses_a_smaller_token():
    async def test():
        counter = await Counter().start()
        client = redis.Redis.from_url(f"redis://127.0.0.1:{counter.port}", protocol=2)
        assert await fenced(client, "place", 5, [("SET", "x", "five")]) == [True]
        await fenced(client, "place", 5, [("SET", "x", "again")])
        with pytest.raises(StaleToken):
            await fenced(client, "place", 4, [("SET", "x", "four")])
        assert await client.get("x") == b"again"
        await client.set("place", "odd")
        with pytest.raises(PlaceError):
            await fenced(client, "place", 6, [])
        await client.aclose()
        counter.kill()

    run(test())


@settings(max_examples=30)
@given(st.integers(0, 1 << 30))
def test_leases_of_any_content_are_written_and_read_alike(seed):
    dice = random.Random(seed)
    lease = Lease(
        dice.randrange(1 << 50),
        beat=dice.randrange(99),
        holder=dice.choice(["", "0-a"]),
        lost=tuple(f"{n}-x" for n in range(dice.randrange(4))),
        paused=dice.choice(["", "weil ☂"]),
        checkpoint="x" * dice.randrange(model.MOST_CHECKPOINT),
    )
    assert model.read(Held(1, "x", model.write(lease))) == lease
