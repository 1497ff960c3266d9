"""The control client on real sockets: what control servers send, and what is in force after."""

import asyncio
import logging

import pytest
from control import ControlFake, Fault, config, delta, plan
from fakes import run

from brackenloft.configuration.client import ControlClient
from brackenloft.configuration.following import Failure
from brackenloft.configuration.messages import ChunkRequest, FollowRequest
from brackenloft.configuration.model import Section
from brackenloft.configuration.tree import Tree

QUICK = 0.01  # draws of the jitter: retries come soon


class Following:
    """A client, and the documents that were in force at it, in order."""

    def __init__(self, *servers: ControlFake, **options):
        self.seen: list[Tree] = []
        self.client = ControlClient(config(*servers, **options), self.seen.append, draw=lambda: QUICK)

    async def __aenter__(self):
        self.client.start()
        return self

    async def __aexit__(self, *_):
        await self.client.close()

    def failures(self, failure: Failure) -> int:
        return self.client.core.failures[failure]


async def begin(server: ControlFake) -> None:
    await server.publish(delta(0, [plan(), plan("q")], {"a": "p", "b": "q"}))


def test_each_revision_is_put_in_force_and_confirmed():
    async def main():
        async with ControlFake() as server:
            await begin(server)
            async with Following(server) as following:
                await server.until(lambda: server.in_force("g0") == 1)
                await server.publish(delta(1, tenants={"a": "q"}))
                await server.until(lambda: server.in_force("g0") == 2)
                assert [tree.digest for tree in following.seen] == [tree.digest for tree in server.trees[1:]]
                assert following.seen[-1].get(Section.TENANTS, "a").plan == "q"
                figures = following.client.figures()
                assert figures["revision"] == 2 and figures["server"] == "c0" and not figures["failures"]
                assert figures["in_force_since_s"] > 0.0 and figures["verified_ms_ago"] >= 0

    run(main())


def test_many_changes_at_once_are_one_swap():
    async def main():
        async with ControlFake() as server:
            await begin(server)
            for base in range(1, 51):
                await server.publish(delta(base, tenants={f"t{base}": "p"}))
            async with Following(server) as following:
                await server.until(lambda: server.in_force("g0") == 51)
                assert [tree.digest for tree in following.seen] == [server.trees[-1].digest]
                assert following.client.swaps == 1

    run(main())


def test_only_buckets_that_differ_are_fetched_of_a_snapshot():
    async def main():
        async with ControlFake() as server:
            await begin(server)
            async with Following(server) as following:
                await server.until(lambda: server.in_force("g0") == 1)
                server.snapshots_only = True
                await server.publish(delta(1, tenants={"c": "p"}))
                await server.until(lambda: server.in_force("g0") == 2)
                (chunk,) = (message for message in server.asked if isinstance(message, ChunkRequest))
                assert len(chunk.buckets) == 1 and following.seen[-1].digest == server.trees[-1].digest

    run(main())


def test_a_change_too_long_for_one_answer_comes_as_a_snapshot():
    async def main():
        async with ControlFake() as server:
            await begin(server)
            await server.publish(delta(1, tenants={f"{number:016x}": "p" for number in range(8000)}))
            async with Following(server) as following:
                await server.until(lambda: server.in_force("g0") == 2)
                assert following.failures(Failure.GARBAGE) + following.failures(Failure.TOO_LONG) == 1
                assert following.seen[-1].count(Section.TENANTS) == 8002

    run(main())


WRONG = {
    Fault.REFUSES: Failure.UNREACHABLE,
    Fault.HALF: Failure.UNREACHABLE,
    Fault.HALF_UNTOLD: Failure.GARBAGE,
    Fault.GARBAGE: Failure.GARBAGE,
    Fault.NO_HTTP: Failure.UNREACHABLE,
    Fault.ENDLESS: Failure.TOO_LONG,
    Fault.ENDLESS_HEAD: Failure.UNREACHABLE,
    Fault.HUGE: Failure.TOO_LONG,
    Fault.BOMB: Failure.GARBAGE,
    Fault.STATUS: Failure.STATUS,
    Fault.REDIRECT: Failure.STATUS,
    Fault.OTHER_MESSAGE: Failure.GARBAGE,
    Fault.STALE: Failure.STALE,
    Fault.GAP: Failure.GAP,
    Fault.OLDER: Failure.OLDER,
}


@pytest.mark.parametrize("fault", list(WRONG))
def test_a_wrong_answer_is_counted_and_said_once_and_the_old_revision_serves_on(fault, caplog):
    async def main():
        async with ControlFake() as server:
            await begin(server)
            async with Following(server) as following:
                await server.until(lambda: server.in_force("g0") == 1)
                server.fault = fault
                base = server.revision
                if fault is Fault.GAP:
                    await server.publish(delta(base, tenants={"c": "p"}))
                if fault is not Fault.STALE:
                    await server.publish(delta(server.revision, tenants={"d": "p"}))
                await server.until(lambda: following.failures(WRONG[fault]) >= 3)
                assert following.client.revision == 1 and len(following.seen) == 1
                server.fault = Fault.NONE
                last = await server.publish(delta(server.revision, tenants={"e": "p"}))
                await server.until(lambda: server.in_force("g0") == last)
                assert following.seen[-1].digest == server.trees[-1].digest

    caplog.set_level(logging.INFO)
    run(main())
    said = [line for line in caplog.messages if f": {WRONG[fault].value}: " in line]
    assert len(said) <= 1 and all(len(line) < 400 for line in caplog.messages)
    assert len(said) == 1 and "revision 1 stays in force" in said[0]


def test_after_a_digest_that_does_not_match_a_snapshot_is_put_in_force():
    async def main():
        async with ControlFake() as server:
            await begin(server)
            async with Following(server) as following:
                await server.until(lambda: server.in_force("g0") == 1)
                server.fault = Fault.WRONG_DIGEST
                await server.publish(delta(1, tenants={"a": "q"}))
                await server.until(lambda: server.in_force("g0") == 2)
                assert following.failures(Failure.MISMATCH) == 1 and len(following.seen) == 2
                assert following.seen[-1].digest == server.trees[-1].digest

    run(main())


def test_a_damaged_bucket_is_noticed_and_fetched_again():
    async def main():
        async with ControlFake() as server:
            await begin(server)
            server.snapshots_only, server.fault = True, Fault.DAMAGED_BUCKET
            async with Following(server) as following:
                await server.until(lambda: following.failures(Failure.MISMATCH) >= 2)
                assert not following.seen
                server.fault = Fault.NONE
                await server.until(lambda: server.in_force("g0") == 1)
                assert following.seen[-1].digest == server.trees[-1].digest

    run(main())


def test_a_busy_server_is_asked_again():
    async def main():
        async with ControlFake() as server:
            await begin(server)
            server.fault = Fault.BUSY
            async with Following(server) as following:
                await server.until(lambda: following.client.core.busy >= 2)
                server.fault = Fault.NONE
                await server.until(lambda: server.in_force("g0") == 1)
                assert not following.client.core.failures

    run(main())


def test_a_server_killed_within_an_answer_is_left_for_another_and_an_older_one_changes_nothing():
    async def main():
        async with (
            ControlFake("c0") as first,
            ControlFake("c1") as second,
            ControlFake("w", "west") as behind,
        ):
            for server in (first, second):
                await begin(server)
            async with Following(first, second, behind) as following:
                core = following.client.core
                await first.until(lambda: max(first.in_force("g0"), second.in_force("g0")) == 1)
                home, other = (first, second) if core.followed == "c0" else (second, first)
                await other.publish(delta(1, tenants={"a": "q"}))
                home.fault = Fault.HALF
                await home.publish(delta(1, tenants={"a": "q"}))
                await home.close()
                await other.until(lambda: other.in_force("g0") == 2)
                assert following.failures(Failure.UNREACHABLE) >= 1 and core.followed == other.name
                await other.close()
                await behind.until(lambda: core.behind >= 2)
                assert following.client.revision == 2 and len(following.seen) == 2
                assert core.followed == "w" or core.servers["w"].answers

    run(main())


def test_a_server_that_stalls_within_a_snapshot_is_left_and_the_rest_is_fetched_elsewhere():
    async def main():
        async with ControlFake("c0") as first, ControlFake("c1") as second:
            for server in (first, second):
                await server.publish(delta(0, [plan()], {f"{number:016x}": "p" for number in range(2000)}))
                server.snapshots_only = True
            following = Following(first, second)
            home = first if next(iter(following.client.core.servers)) == "c0" else second
            other = second if home is first else first

            def stalls(request, answer=home.chunk):
                home.fault = Fault.HANGS  # from the next one on
                return answer(request)

            home.chunk = stalls
            async with following:
                await other.until(lambda: other.in_force("g0") == 1)
            before = [message for message in home.asked if isinstance(message, ChunkRequest)]
            after = [message for message in other.asked if isinstance(message, ChunkRequest)]
            assert following.failures(Failure.TIMEOUT) >= 1 and len(before) == 2
            assert before[1] == after[0] and not set(before[0].buckets) & {
                place for message in after for place in message.buckets
            }
            assert following.seen[-1].digest == first.trees[-1].digest

    run(main())


def test_nothing_is_served_by_a_control_server_that_is_not_there_and_it_is_found_when_it_comes():
    async def main():
        async with ControlFake() as server:
            await begin(server)
            port = server.port
            await server.close()
            async with Following(server) as following:
                while following.failures(Failure.UNREACHABLE) < 3:
                    await asyncio.sleep(0.01)
                assert not following.seen and following.client.revision == 0
                await server.open(port)
                await server.until(lambda: server.in_force("g0") == 1)

    run(main())


def test_the_end_is_told_to_a_server_that_answers():
    async def main():
        async with ControlFake("c0") as first, ControlFake("c1") as second:
            for server in (first, second):
                await begin(server)
            following = Following(first, second)
            async with following:
                await first.until(lambda: max(first.in_force("g0"), second.in_force("g0")) == 1)
                home, other = (first, second) if following.client.core.followed == "c0" else (second, first)
                await home.close()
            assert [leave.follower for leave in other.left] == [following.client.follower]

    run(main())


def test_the_end_comes_soon_though_nobody_answers():
    async def main():
        async with ControlFake() as server:
            server.fault = Fault.HANGS
            async with Following(server):
                await server.until(lambda: server.asked)
            assert server.left

    run(main())


def test_each_start_is_another_run_and_a_later_incarnation():
    async def main():
        async with ControlFake() as server:
            for _ in range(2):
                async with Following(server):
                    known = len(server.asked)
                    await server.until(lambda known=known: len(server.asked) > known)
            first, second = (leave.follower for leave in server.left)
            assert first.run != second.run and first.incarnation < second.incarnation
            assert isinstance(server.asked[0], FollowRequest) and server.asked[0].follower == first

    run(main())
