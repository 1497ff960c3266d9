"""The table of a client connection's life: whole, and it never goes back."""

import pytest
from fakes import FakeServer, call, node, run, until
from hypothesis import given
from hypothesis import strategies as st

from brackenloft.net import client_closing
from brackenloft.net.client_state import FACTS, FOLLOWS, ConnectionEvent, ConnectionState

State, Event = ConnectionState, ConnectionEvent


def after(events):
    state = State.OPEN
    for event in events:
        state = FOLLOWS[state][event]
    return state


def test_every_event_is_in_every_state_and_every_state_has_its_facts():
    assert set(FOLLOWS) == set(FACTS) == set(State)
    assert all(set(row) == set(Event) for row in FOLLOWS.values())


@given(st.lists(st.sampled_from(Event)))
def test_facts_are_what_has_happened(events):
    state, lost = after(events), Event.LOST in events
    assert (state is State.CLOSED) == lost
    assert FACTS[state].ending == (lost or Event.END in events)
    assert FACTS[state].half_closed == (lost or Event.HALF_CLOSE in events)


@given(st.lists(st.sampled_from(Event)), st.sampled_from(Event))
def test_an_event_twice_is_that_event_once_and_nothing_is_taken_back(events, event):
    before, then = after(events), after([*events, event])
    assert FOLLOWS[then][event] is then
    assert FACTS[then].ending >= FACTS[before].ending
    assert FACTS[then].half_closed >= FACTS[before].half_closed


@pytest.mark.parametrize(
    "sent, states",
    [
        (b"!junk\r\n", [State.ENDING, State.LINGERING_ENDED, State.CLOSED]),
        (b"", [State.LINGERING, State.CLOSED]),
    ],
)
def test_a_connection_goes_through_the_states_of_its_end(sent, states, monkeypatch):
    async def test():
        async with node(FakeServer()) as gateway:
            peer = await gateway.peer()
            assert await peer.ask(call(1)) == b"%016x" % 1
            (client,) = gateway.clients.connections
            seen, happens = [client.state], client._happens

            def watched(event):
                happens(event)
                if client.state is not seen[-1]:
                    seen.append(client.state)

            monkeypatch.setattr(client, "_happens", watched)
            if sent:
                peer.send(sent)
            else:
                monkeypatch.setattr(client_closing, "QUIET_S", 0.0)
                client.parting = True
                client.flush()
            await until(lambda: not gateway.clients.connections)
            assert seen == [State.OPEN, *states]

    run(test())
