"""Operators' commands against real control servers: what is published, and how far it has come."""

from __future__ import annotations

import asyncio
import json

import msgspec
from control_cluster import EMPTY_DIGEST, cluster, follower
from fakes import run

from brackenloft.cli import main
from brackenloft.configuration.messages import Changes
from brackenloft.configuration.model import Delta, Items, Plan, Section, Tenant

ANA, RUI = "00000000000000aa", "00000000000000bb"
DOCUMENT = Items(plans=(Plan("basic", 1.0, 5.0),), tenants=(Tenant(ANA, "basic"),))


class Operator:
    """Runs commands in a thread, so that the servers of the test's loop can answer."""

    def __init__(self, folder, servers, capsys, numbers=range(6)):
        self.folder, self.capsys = folder, capsys
        rows = [{"name": f"c{n}", "url": f"http://{servers.configs[n].listen}"} for n in numbers]
        self.config = str(folder / f"control-client-{len(rows)}.json")
        (folder / self.config).write_text(json.dumps({"servers": rows}))

    async def command(self, *words):
        """Exit code and object of a command."""
        code = await asyncio.to_thread(main, ["config", *words, "--config", self.config, "--json"])
        out = self.capsys.readouterr()
        assert out.out, out.err
        return code, json.loads(out.out)

    async def publish(self, content):
        path = self.folder / "content.json"
        path.write_bytes(msgspec.json.encode(content))
        return await self.command("publish", str(path), "--author", "ana")


def test_a_document_is_published_and_told_to_be_in_force_everywhere_when_it_is(tmp_path, capsys):
    async def test():
        async with cluster(tmp_path) as servers:
            operator = Operator(tmp_path, servers, capsys)
            code, found = await operator.publish(DOCUMENT)
            assert (code, found["outcome"], found["revision"]) == (0, "published", 1)
            assert found["digest"] == servers.stood[-1].digest.hex()
            await servers.reach(1)
            await servers.complete()
            run_of_gateway = follower("g1")
            answer = await servers.follow(2, run_of_gateway)
            assert isinstance(answer, Changes) and answer.records[0].author == "ana"
            code, told = await operator.command("status")
            assert code == 0 and told["published"] and not told["everywhere"]
            assert [row["gateway"] for row in told["behind"]] == ["g1"]
            await servers.follow(2, run_of_gateway, 1, servers.stood[-1].digest)
            code, told = await operator.command("status")
            assert told["everywhere"] and told["behind"] == []
            assert (told["servers_counted"], told["servers_needed"]) == (6, 3)

    run(test())


def test_a_part_of_the_servers_does_not_tell_everywhere(tmp_path, capsys):
    async def test():
        async with cluster(tmp_path) as servers:
            await Operator(tmp_path, servers, capsys).publish(DOCUMENT)
            await servers.reach(1)
            await servers.complete()
            await servers.follow(0, follower("g1"), 0, EMPTY_DIGEST)
            code, told = await Operator(tmp_path, servers, capsys, (4, 5)).command("status")
            assert code == 0 and not told["everywhere"]
            assert (told["servers_counted"], told["servers_needed"]) == (2, 3)

    run(test())


def test_a_whole_document_is_compared_with_what_stands_at_any_server(tmp_path, capsys):
    async def test():
        async with cluster(tmp_path) as servers:
            operator = Operator(tmp_path, servers, capsys, (5, 0, 1, 2, 3, 4))
            await operator.publish(DOCUMENT)
            await servers.reach(1)
            assert (await operator.publish(DOCUMENT))[1]["outcome"] == "unchanged"
            more = Items(plans=DOCUMENT.plans, tenants=(Tenant(RUI, "basic"),))
            code, found = await operator.publish(more)
            assert (code, found["revision"]) == (0, 2)
            await servers.reach(2)
            for service in servers.services:
                assert list(service.replica.tree.items(Section.TENANTS)) == [Tenant(RUI, "basic")]
            stale = Delta(1, Items(plans=(Plan("late"),)))
            assert await operator.publish(stale) == (1, {"outcome": "conflict", "revision": 2, "base": 1})
            wrong = Delta(2, Items(tenants=(Tenant(ANA, "none"),)))
            code, found = await operator.publish(wrong)
            assert (code, found["outcome"]) == (1, "invalid")
            assert found["faults"] == [{"path": f"tenants.{ANA}.plan", "reason": "no such plan: none"}]

    run(test())


def test_too_few_copies_are_told_and_nothing_stands(tmp_path, capsys):
    async def test():
        async with cluster(tmp_path) as servers:
            await servers.stop(3, 4, 5)
            code, found = await Operator(tmp_path, servers, capsys).publish(Delta(0, DOCUMENT))
            assert (code, found["outcome"]) == (1, "unavailable")
            assert not found.get("may_stand") and "copies" in found["reason"]
            assert len(servers.stood) == 1

    run(test())
