"""A hand-over after quiet minutes, and one whose first process ends in the middle (issue 75)."""

import asyncio
import socket

import pytest
from fakes import call, run
from test_handover import connected, gateway, world

from brackenloft.handover import channel
from brackenloft.handover.channel import socket_path
from brackenloft.handover.frames import encode
from brackenloft.handover.state import tell
from brackenloft.lifecycle import State
from brackenloft.net.sent_requests import REMEMBERED_MS

QUIET_MS = (1_000.0, REMEMBERED_MS, 2.0 * REMEMBERED_MS + 1_000.0, 3_600_000.0)


# Guards against two processes that both accept, as the second refused ids that the first had long forgotten.
@pytest.mark.parametrize("quiet_ms", QUIET_MS)
def test_state_is_taken_over_however_long_ago_the_last_request_was_sent_on(tmp_path, quiet_ms):
    async def test():
        async with world(tmp_path) as (_, held, old):
            assert await (await connected(held)).ask(call(1, "buy")) == b"v"
            then = old.driver.clock
            old.driver.clock = lambda: then() + quiet_ms
            async with gateway(None, tmp_path, held, known=False) as (new, succession, accept):
                new._ready.set()
                await succession.begin(accept)
                assert (old.lifecycle.state, new.lifecycle.state) == (State.HANDING, State.READY)
                assert len(new.driver.gateway.meter.customers) == 1
                remembered = new.driver.sent_requests.may_have_run(f"{1:016x}", new.driver.clock())
                assert remembered == (quiet_ms < REMEMBERED_MS)

    run(test())


# Guards against a process of an older version that tells ids it has forgotten, however old.
def test_ids_that_are_too_old_to_matter_are_left_out_and_the_others_taken():
    rows = [["old", 2.0 * REMEMBERED_MS + 1.0], ["edge", REMEMBERED_MS], ["young", REMEMBERED_MS - 1.0]]
    assert channel.read_sent(rows) == [("young", REMEMBERED_MS - 1.0)]


# Guards against attempts that count as out for ever: nobody tells any more when they end.
@pytest.mark.parametrize("dies", [True, False])
def test_attempts_of_a_process_that_ends_before_it_has_let_go_are_out_no_more(tmp_path, monkeypatch, dies):
    async def test():
        monkeypatch.setattr(channel, "STEP_S", 0.1)
        async with world(tmp_path) as (server, held, old):
            busy = await connected(held)
            busy.send(call(9))
            await server.until(lambda: len(server.commands) == 1)
            state = tell(old.driver.gateway, {1: "s-1"}, old.driver.clock())
            assert [row[2][6] for row in state["customers"]] == [1]
            directory = tmp_path / "second"
            directory.mkdir()
            took = asyncio.Event()

            async def first(reader, writer):
                await reader.read(100)
                writer.write(encode(state))
                assert await reader.read(100)  # took
                took.set()
                if dies:
                    writer.close()

            path = socket_path(directory, "127.0.0.1:1")
            predecessor = await asyncio.start_unix_server(first, str(path))
            with socket.create_server(("127.0.0.1", 0)) as own:
                async with gateway(server, directory, own) as (new, succession, accept):
                    await succession.begin(accept)
                    assert took.is_set() and new.lifecycle.state is State.READY
                    assert [one.out for one in new.driver.gateway.meter.customers.values()] == [0]
            predecessor.close()

    run(test())
