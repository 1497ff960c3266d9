"""The lifecycle: every state with every event and every call, and what any course of events leaves true."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft.lifecycle import FACTS, FOLLOWS, Event, Lifecycle, State
from brackenloft.ops import address as module
from brackenloft.ops.calls import METHODS, respond

DRAINED = {State.HELD_BACK, State.DRAINING, State.HANDING_EMPTY}
HANDED = {State.HANDING, State.HANDING_EMPTY, State.LEAVING_HANDED}


@pytest.mark.parametrize("state", State)
def test_every_event_has_its_place_in_every_state(state):
    assert set(FOLLOWS[state]) == set(Event)
    facts = FACTS[state]
    assert not facts.ready or (facts.pong and facts.accepts and facts.empties_after_s is None)
    assert facts.pong is (state not in DRAINED | {State.STARTING, State.GONE})
    assert facts.accepts is (state not in HANDED | {State.GONE})


@given(st.lists(st.sampled_from(Event)))
def test_any_course_of_events(events):
    """The last drain or resume that was taken holds, whatever else happens; one refused changes nothing."""
    changes = []
    life = Lifecycle(lambda before, after: changes.append((before, after)))
    drained = listed = left = gone = False
    for event in events:
        before, told = life.state, len(changes)
        taken = life.happens(event)
        assert (len(changes) > told) is (life.state is not before)
        assert taken or life.state is before
        if taken and event in (Event.DRAIN, Event.RESUME) and not left:
            drained = event is Event.DRAIN
        listed |= event is Event.LISTED
        left |= event is Event.LEAVE
        gone |= event is Event.ENDED
        assert (life.state is State.GONE) is gone
        if not left and not gone:
            assert (life.state in DRAINED) is drained
            assert FACTS[life.state].pong is (listed and not drained)
        if event is Event.KEEP and before is State.HANDING:
            assert life.state is State.READY
        if event is Event.KEEP and before is State.HANDING_EMPTY:
            assert life.state is State.DRAINING
        # A call repeated is harmless, but a second successor finds the first in its place.
        assert life.happens(event) or not taken or event is Event.HAND
        assert life.state is FOLLOWS[before][event] or life.state is before


def test_calls_out_of_place_are_refused():
    life = Lifecycle()
    assert not life.happens(Event.HAND)
    life.happens(Event.LISTED)
    life.happens(Event.HAND)
    assert not life.happens(Event.DRAIN) and not life.happens(Event.RESUME)
    life.happens(Event.LEAVE)
    assert life.state is State.LEAVING_HANDED and life.happens(Event.DRAIN)
    life.happens(Event.ENDED)
    assert not life.happens(Event.DRAIN)


@pytest.mark.parametrize("state", State)
@pytest.mark.parametrize("path", [*METHODS, "/-/unknown", ""])
def test_each_call_in_each_state_has_a_defined_answer(state, path):
    life = Lifecycle()
    for method in ("GET", "POST", "DELETE"):
        life.state = state
        response = respond(method, path, life, dict)
        if path not in METHODS:
            assert response.status == 404
        elif method != METHODS[path]:
            assert (response.status, response.allow) == (405, METHODS[path])
        else:
            assert response.status in (200, 409, 503)
            assert response.status != 409 or life.state is state
        assert response.status < 400 or "error" in response.document or "state" in response.document


@settings(max_examples=50, deadline=None)
@given(st.binary(max_size=300), st.integers(0, 300))
def test_no_bytes_bring_more_than_one_answer(junk, cut):
    """Whatever comes, in two pieces: one answer at most, and nothing raises."""

    class Wire:
        def __init__(self):
            self.written = []

        def write(self, data):
            self.written.append(data)

        def write_eof(self):
            self.ended = True

        close = abort = write_eof

    async def test():
        life = Lifecycle()
        place = module.SecondAddress("127.0.0.1", 0, lambda method, path: respond(method, path, life, dict))
        caller, wire = module.Caller(place), Wire()
        caller.connection_made(wire)
        for piece in (junk[:cut], junk[cut:], b"GET / HTTP/1.1\r\n\r\n"):
            caller.data_received(piece)
        assert len(wire.written) <= 1
        caller.connection_lost(None)
        place.close()

    asyncio.run(test())
