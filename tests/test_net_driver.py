"""Events and actions: their order, one outcome for each send, timers, time."""

import asyncio
import time
from types import SimpleNamespace

from fakes import FakeServer, array, call, node, pass_time, run, until
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft import (
    Cancel,
    ClientGone,
    Fail,
    ListKind,
    Log,
    Outcome,
    Refuse,
    Request,
    Send,
    ServerEntry,
    SetTimer,
    Status,
    TimerFired,
)
from brackenloft.net.call import Call
from brackenloft.net.clock import Clock
from brackenloft.net.timers import Timers
from brackenloft.net.wire import answer_line


class Script:
    """Decisions by heart: answers each event with what the test says, and keeps the events."""

    def __init__(self, **answers) -> None:
        self.answers, self.events, self.times, self.depth = answers, [], [], 0

    def handle(self, now_ms, event):
        assert self.depth == 0, "events came one inside the other"
        self.events.append(event)
        self.times.append(now_ms)
        self.depth += 1
        actions = self.answers.get(type(event).__name__, lambda _: [])(event)
        self.depth -= 1
        return actions

    def outcomes(self):
        return [(e.attempt, e.status, e.closed) for e in self.events if isinstance(e, Outcome)]


def scripted(gateway, script, wait_ms=60_000.0):
    """Put a request before a script; the answers its client gets."""
    gateway.driver.gateway, answers = script, []
    made = Call("r", lambda wait: b"*1\r\n$4\r\nWAIT\r\n", lambda answer: answers.append(answer_line(answer)))
    gateway.driver.request(made, Request("r", "read", "free", "c", wait_ms), wait_ms)
    return answers


def test_outcome_known_at_once_is_queued_behind_the_actions_before_it():
    async def test():
        async with node() as gateway:
            sends = []
            script = Script(
                Request=lambda e: [Send("r", 9), Send("r", 9), Log("after both")],
                Outcome=lambda e: (
                    sends.append(gateway.driver.calls["r"].sends) or ([Refuse("r")] if e.attempt == 1 else [])
                ),
            )
            answers = scripted(gateway, script)
            assert sends == [2, 2]
            assert script.outcomes() == [(0, Status.CONNECT_FAILED, False), (1, Status.CONNECT_FAILED, False)]
            assert answers == [b"-BUSY\r\n"] and not gateway.driver.calls

    run(test())


def test_only_the_first_final_answer_goes_out_and_advice_is_in_whole_milliseconds():
    async def test():
        async with node() as gateway:
            script = Script(Request=lambda e: [Refuse("r", 249.6), Fail("r"), Refuse("r"), Send("r", 1)])
            assert scripted(gateway, script) == [b"-BUSY 250\r\n"]
            assert script.outcomes() == [] and not gateway.driver.calls

    run(test())


def test_send_after_the_answer_is_not_sent_and_still_has_its_outcome():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            script = Script(
                Request=lambda e: [Send("r", 1), Fail("r"), Refuse("r"), Send("r", 1), Cancel("r", 0)]
            )
            assert scripted(gateway, script) == [b"-ERR failed\r\n"]
            assert sorted(script.outcomes(), key=lambda outcome: outcome[0]) == [
                (0, Status.CONNECT_FAILED, True),
                (1, Status.NOT_SENT, True),
            ]
            assert not server.commands and not gateway.driver.calls

    run(test())


def test_cancelled_attempt_is_closed_before_the_next_goes_out():
    async def test():
        server, other = FakeServer(lambda words: None), FakeServer(lambda words: None)
        async with node(server, other) as gateway:
            script = Script(
                Request=lambda e: [Send("r", 1)], Outcome=lambda e: [Send("r", 2)] if e.attempt == 0 else []
            )
            scripted(gateway, script)
            await server.until(lambda: len(server.commands) == 1)
            gateway.driver._perform(Cancel("r", 0))
            gateway.driver._perform(Cancel("r", 0))
            await server.until(lambda: server.ended == 1)
            await other.until(lambda: len(other.commands) == 1)
            assert script.outcomes() == [(0, Status.CANCELLED, False)]

    run(test())


def test_attempt_times_out_after_its_time_and_its_connection_is_closed():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            script = Script(Request=lambda e: [Send("r", 1, 2_000.0)], Outcome=lambda e: [Fail("r")])
            answers = scripted(gateway, script)
            await server.until(lambda: len(server.commands) == 1)  # what was not written would not time out
            pass_time(gateway, 1_000.0)
            assert script.outcomes() == []
            pass_time(gateway, 1_000.0)
            await server.until(lambda: server.ended == 1)
            assert script.outcomes() == [(0, Status.TIMEOUT, False)] and answers == [b"-ERR failed\r\n"]

    run(test())


def test_client_that_left_is_told_once_and_its_late_answer_goes_nowhere():
    async def test():
        server = FakeServer(lambda words: None)
        async with node(server) as gateway:
            script = Script(Request=lambda e: [Send("r", 1)])
            answers = scripted(gateway, script)
            await server.until(lambda: len(server.commands) == 1)  # what was not written would never be
            gateway.driver.client_gone("r")
            gateway.driver.client_gone("r")
            server.writers[0].write(array(b"late"))
            await until(lambda: bool(script.outcomes()))
            assert script.outcomes() == [(0, Status.OK, True)] and answers == []
            assert [e for e in script.events if isinstance(e, ClientGone)] == [ClientGone("r")]
            assert not gateway.driver.calls

    run(test())


def test_timers_fire_once_in_order_of_their_time_and_time_never_goes_back():
    async def test():
        async with node() as gateway:
            script = Script(Request=lambda e: [SetTimer(3, 30.0), SetTimer(1, 10.0), SetTimer(2, 10.0)])
            scripted(gateway, script)
            await until(lambda: len(script.events) == 4)
            assert script.events[1:] == [TimerFired(1), TimerFired(2), TimerFired(3)]
            assert script.times == sorted(script.times)
            assert script.times[3] - script.times[0] >= 30.0
            assert not gateway.driver.timers

    run(test())


def test_timer_between_two_milliseconds_does_not_spin_until_it_is_due(monkeypatch):
    fired = []
    plain = Timers._fire
    monkeypatch.setattr(Timers, "_fire", lambda self: fired.append(1) or plain(self))

    async def test():
        async with node() as gateway:
            driver, due = gateway.driver, asyncio.Event()
            for number in range(20):
                due.clear()
                driver.timers.at(driver.clock() + 5.0 + number / 20.0, lambda _: due.set(), None)
                await due.wait()
            assert 20 <= len(fired) <= 100

    run(test())


def test_clock_is_unix_time_and_not_moved_by_a_clock_that_is_set(monkeypatch):
    clock = Clock()
    assert abs(clock() - time.time() * 1000.0) < 60_000.0
    before = clock()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert clock() >= before


def test_decisions_that_fail_on_one_request_leave_the_others_alone():
    async def test():
        def failing(event):
            raise RuntimeError("no decision")

        async with node(FakeServer()) as gateway:
            good = gateway.driver.gateway
            assert scripted(gateway, Script(Request=failing)) == [b"-ERR failed\r\n"]
            gateway.driver.gateway = good
            assert await (await gateway.peer()).ask(call(1)) == b"0000000000000001"

    run(test())


def test_restarted_server_is_cold_by_the_clock_that_discovery_uses():
    async def test():
        server = FakeServer()
        async with node() as gateway:
            await server.start()
            _, address = server.entry(1)
            started = gateway.driver.clock() - 5_000.0  # half of the warm-up
            gateway.told((ServerEntry(1, "a", started_ms=started), address), kind=ListKind.FULL)
            (known,) = gateway.driver.gateway.fleet.servers.values()
            assert 0.59 < gateway.driver.gateway.fleet.warmth(known) < 1.0
            await asyncio.sleep(0)

    run(test())


def test_request_that_is_done_leaves_no_timer_and_its_command_goes():
    async def test():
        async with node(FakeServer()) as gateway:
            peer = await gateway.peer()
            assert await peer.ask(call(1, "buy", body=b"x" * 60_000)) == b"0000000000000001"
            assert not gateway.driver.timers and not gateway.driver.calls

    run(test())


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.floats(0.0, 30.0), st.booleans(), st.integers(0, 9)), max_size=30))
def test_timers_fire_in_order_never_early_and_not_when_taken_back(steps):
    class Loop:
        def __init__(self):
            self.calls = []

        def call_later(self, delay, call):
            self.calls.append((now[0] + delay * 1000.0, call))
            return SimpleNamespace(cancel=lambda: self.calls.clear())

    now, loop, fired, wanted = [0.5], Loop(), [], {}
    timers = Timers(loop, lambda: now[0], 1000.0)

    def fire(number):
        fired.append(number)
        assert now[0] >= wanted[number][0]
        for other, (_, handle, by) in list(wanted.items()):
            if by == number and other not in fired:  # one takes back others, also of its own bucket
                timers.cancel(handle)
                del wanted[other]

    for number, (delay, taken_back, by) in enumerate(steps):
        handle = timers.at(now[0] + delay, fire, number)
        if taken_back:
            timers.cancel(handle)
        else:
            wanted[number] = (now[0] + delay, handle, by if by < number else -1)
    while loop.calls:
        due, call = loop.calls.pop()
        now[0] = max(now[0], due)
        call()
    assert fired == sorted(wanted, key=lambda number: (wanted[number][0], number)) and not timers
