"""``brackenloft fleet``: init, status, stores, leases, tasks, pause, resume, release, replace-store.

Each reads the fleet's file and asks its stores, not the gateways. Exits 0 where it was done, 1 where it was
not (it says why, and the command may be given again), 2 for a wrong file or option.
"""

from __future__ import annotations

import asyncio
import secrets
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from brackenloft.commands import run as run_app
from brackenloft.config import ConfigError
from brackenloft.fleet import config
from brackenloft.fleet.config import Document
from brackenloft.fleet.leases import model
from brackenloft.fleet.leases.lease import PREFIX
from brackenloft.fleet.leases.model import Lease
from brackenloft.fleet.registers import enrol
from brackenloft.fleet.registers import members as places
from brackenloft.fleet.registers.members import Member, Members
from brackenloft.fleet.registers.model import NonsenseError
from brackenloft.fleet.registers.registers import NoMajority, Registers, Unsure, known_members
from brackenloft.fleet.registers.store import Lost, Store

app = typer.Typer(help=__doc__, no_args_is_help=True, add_completion=True, pretty_exceptions_enable=False)
NOT_DONE, WRONG = 1, 2
WITHIN_S = 5.0  # for a change; a replacement makes one for each register
PLAIN_WIDTH = 160  # of tables that go to a file or a pipe
FLOOR_PER_S = 1000  # tokens of a new installation begin above those of any before: by the time it is set up
File = Annotated[Path, typer.Option("--config", help="the fleet's file, as gateways have it")]
Json = Annotated[bool, typer.Option("--json", help="one JSON object, for scripts")]
Task = Annotated[str, typer.Argument(help="a task of the fleet's file")]


class NotDone(Exception):  # noqa: N818
    """What was asked for was not done, and why."""


def _console() -> Console:
    return Console(width=None if sys.stdout.isatty() else PLAIN_WIDTH)


class Desk:
    """The stores of a file, from where an operator stands."""

    def __init__(self, document: Document) -> None:
        self.document = document
        self.stores = {
            place.name: Store(place.url, document.prefix, document.timeout_ms / 1000.0, place.durable)
            for place in document.stores
        }
        self.registers = Registers(self.stores, Members(0, 0, ()), f"operator-{secrets.token_hex(6)}")

    async def find(self) -> Members:
        """The installation; NotDone if there is none."""
        members = await known_members(self.stores)
        if members is None:
            raise NotDone("no store tells of an installation: brackenloft fleet init, once")
        self.registers.adopt(members)
        return members

    async def leases(self) -> dict[str, Lease | None]:
        """Of the file's tasks; NotDone where too few stores have a vote."""
        names = [task.name for task in self.document.tasks]
        found = await self.registers.look([PREFIX + name for name in names], WITHIN_S)
        if len(found) < len(names):
            raise NotDone(f"too few stores have a vote or answer: {self.trouble()}")
        return {name: model.read(found[PREFIX + name]) for name in names}

    async def tell(self, task: str, step: Callable[[Lease | None], Lease | None]) -> bool:
        """Change a task's lease; False where there was nothing to change."""
        if task not in {each.name for each in self.document.tasks}:
            raise NotDone(f"the file names no task {task!r}")

        def change(held: Any) -> bytes | None:
            after = step(model.read(held))
            return None if after is None else model.write(after)

        return (await self.registers.change(PREFIX + task, change, WITHIN_S)).mine

    def trouble(self) -> str:
        """Which stores have no vote, and why."""
        told = [f"{name} ({store.why})" for name, store in self.stores.items() if store.why]
        return ", ".join(told) or "none"

    async def close(self) -> None:
        """Speak to no store any more."""
        await self.registers.close()


def _do(path: Path, work: Callable[[Desk], Coroutine[Any, Any, None]]) -> None:
    """Carry out a command; its exit code."""
    try:
        document = config.load(path)
    except ConfigError as error:
        print(f"brackenloft fleet: {error}", file=sys.stderr)
        raise typer.Exit(WRONG) from None

    async def carry_out() -> None:
        desk = Desk(document)
        try:
            await work(desk)
        except (NoMajority, Unsure) as error:
            sure = "it may have been done" if isinstance(error, Unsure) else "nothing was done"
            raise NotDone(f"too few stores have a vote or answer ({sure}): {desk.trouble()}") from error
        finally:
            await desk.close()

    try:
        asyncio.run(carry_out())
    except (NotDone, NonsenseError, enrol.EnrolError) as error:
        print(f"brackenloft fleet: {error}", file=sys.stderr)
        raise typer.Exit(NOT_DONE) from None


def _say(document: dict[str, Any], as_json: bool, *lines: str) -> None:
    print(msgspec.json.encode(document).decode() if as_json else "\n".join(lines))


# ---- Looking


async def _stores(desk: Desk) -> list[dict[str, Any]]:
    """Each store: whether it has a vote, why not, how far its clock is from ours."""
    members = await known_members(desk.stores) or Members(0, 0, ())
    desk.registers.adopt(members)
    listed = {member.name: member for member in members.all()}
    names = [*desk.stores, *(name for name in listed if name not in desk.stores)]
    return list(await asyncio.gather(*(_store(desk, members, name, listed.get(name)) for name in names)))


async def _store(desk: Desk, members: Members, name: str, member: Member | None) -> dict[str, Any]:
    row: dict[str, Any] = {
        "store": name,
        "identity": member.identity if member else None,
        "member": member in members.stores,
        "leaves": member in members.old,
        "vote": False,
    }
    store = desk.stores.get(name)
    if store is None:
        return row | {"why": "the file has no address for it"}
    asked = time.monotonic()
    try:
        own, known, running = await store.own()
    except Lost as error:
        return row | {"why": f"no answer: {error}"}
    row["ms"] = round((time.monotonic() - asked) * 1000.0, 1)
    if member is None:
        return row | {"why": "is no member" if known else "blank, and no member"}
    why, theirs = places.judge(member, None if store.durable else running, own, known, members)
    row["epoch"] = theirs.epoch if theirs else None
    return row | {"vote": why is None, "why": why.value if why else ""}


@app.command()
def stores(config: File, as_json: Json = False) -> None:
    """Which stores have a vote, and why others have none."""

    async def work(desk: Desk) -> None:
        rows = await _stores(desk)
        if as_json:
            _say({"epoch": desk.registers.members.epoch, "stores": rows}, True)
            return
        table = Table("store", "identity", "member", "vote", "epoch", "ms", "why not")
        for row in rows:
            vote = "yes" if row["vote"] else "no"
            table.add_row(
                row["store"],
                str(row["identity"] or ""),
                _member(row),
                vote,
                str(row.get("epoch") or ""),
                str(row.get("ms", "")),
                row["why"],
            )
        _console().print(table)

    _do(config, work)


def _member(row: dict[str, Any]) -> str:
    if row["member"]:
        return "yes"
    return "leaves" if row["leaves"] else "no"


@app.command()
def leases(config: File, as_json: Json = False) -> None:
    """Each task's lease, as a majority of stores has it."""

    async def work(desk: Desk) -> None:
        await desk.find()
        rows = {name: msgspec.to_builtins(lease) for name, lease in (await desk.leases()).items()}
        if as_json:
            _say({"leases": rows}, True)
            return
        table = Table("task", "token", "holder", "beat", "length ms", "handed to", "checkpoint")
        for name, row in rows.items():
            row = row or {}
            wanted = row.get("next", model.ANYBODY)
            table.add_row(
                name,
                str(row.get("token", "")),
                row.get("holder", ""),
                str(row.get("beat", "")),
                str(row.get("length_ms", "")),
                "" if wanted == model.ANYBODY else str(wanted),
                row.get("checkpoint", "")[:40],
            )
        _console().print(table)

    _do(config, work)


def _task_row(lease: Lease | None) -> dict[str, Any]:
    if lease is None:
        return {"state": "never begun", "gateway": None, "runs": 0, "failures": 0, "lost": 0, "paused": ""}
    state = "paused" if lease.paused else "running" if lease.run else "held" if lease.holder else "free"
    return {
        "state": state,
        "gateway": lease.index if lease.holder else None,
        "runs": lease.runs,
        "failures": lease.failures,
        "lost": len(lease.lost),
        "paused": lease.paused,
    }


def _tasks_table(rows: dict[str, dict[str, Any]]) -> Table:
    table = Table("task", "state", "gateway", "runs", "failures in a row", "holders lost in a row", "paused")
    for name, row in rows.items():
        gateway = "" if row["gateway"] is None else str(row["gateway"])
        table.add_row(
            name,
            row["state"],
            gateway,
            str(row["runs"]),
            str(row["failures"]),
            str(row["lost"]),
            row["paused"],
        )
    return table


@app.command()
def tasks(config: File, as_json: Json = False) -> None:
    """What is done by whom, and what is paused."""

    async def work(desk: Desk) -> None:
        await desk.find()
        rows = {name: _task_row(lease) for name, lease in (await desk.leases()).items()}
        if as_json:
            _say({"tasks": rows}, True)
        else:
            _console().print(_tasks_table(rows))

    _do(config, work)


@app.command()
def status(config: File, as_json: Json = False) -> None:
    """Stores with a vote, tasks by state; exits 1 where too few stores have one."""

    async def work(desk: Desk) -> None:
        rows = await _stores(desk)
        members = desk.registers.members
        if not members.epoch:
            raise NotDone("no store tells of an installation: brackenloft fleet init, once")
        voting = [row["store"] for row in rows if row["vote"]]
        states: dict[str, int] = {}
        for lease in (await desk.leases()).values():
            state = _task_row(lease)["state"]
            states[state] = states.get(state, 0) + 1
        document = {
            "epoch": members.epoch,
            "stores": len(members.all()),
            "voting": voting,
            "replacing": bool(members.old),
            "tasks": states,
        }
        told = ", ".join(f"{number} {state}" for state, number in sorted(states.items())) or "none"
        line = f"epoch {members.epoch}: {len(voting)} of {len(members.all())} stores have a vote"
        line += ", one is being replaced" if members.old else ""
        _say(document, as_json, f"{line}; tasks: {told}")

    _do(config, work)


# ---- Changing


@app.command()
def init(
    config: File,
    names: Annotated[str, typer.Option("--stores", help="of the file, with commas; all by default")] = "",
    force: Annotated[bool, typer.Option(help="stores that belong to an installation are emptied")] = False,
    as_json: Json = False,
) -> None:
    """Set up an installation on its stores, once; every one of them has to be there."""

    async def work(desk: Desk) -> None:
        chosen = names.split(",") if names else list(desk.stores)
        unknown = [name for name in chosen if name not in desk.stores]
        if unknown:
            raise NotDone(f"the file has no address for {', '.join(unknown)}")
        # Guards against tokens that begin anew where places have seen larger ones.
        floor = int(time.time()) * FLOOR_PER_S
        members = places.first(chosen, floor, secrets.token_hex(3))
        await enrol.found(desk.registers, members, force)
        _say(msgspec.to_builtins(members), as_json, f"epoch 1: {', '.join(chosen)}; tokens above {floor}")

    _do(config, work)


@app.command("replace-store")
def replace_store(
    config: File,
    leaves: Annotated[str, typer.Argument(help="the store that goes, or that forgot")],
    comes: Annotated[str, typer.Argument(help="the one in its place; the same by default")] = "",
    as_json: Json = False,
) -> None:
    """Let a store take another's place, or take one back that forgot. Safe to give again."""

    async def work(desk: Desk) -> None:
        await desk.find()
        lines: list[str] = []
        members = await enrol.replace(
            desk.registers, leaves, comes or leaves, secrets.token_hex(3), WITHIN_S, lines.append
        )
        _say(msgspec.to_builtins(members), as_json, *lines)

    _do(config, work)


def _change(
    path: Path,
    task: str,
    as_json: bool,
    said: str,
    step: Callable[[Lease | None], Lease | None],
) -> None:
    async def work(desk: Desk) -> None:
        await desk.find()
        done = await desk.tell(task, step)
        _say({"task": task, "changed": done}, as_json, f"{task}: {said if done else 'was so already'}")

    _do(path, work)


@app.command()
def pause(
    config: File,
    task: Task,
    reason: Annotated[str, typer.Option(help="told to all")] = "",
    as_json: Json = False,
) -> None:
    """Begin no run of a task any more, at any gateway; one that is under way ends."""
    _change(config, task, as_json, "paused", lambda lease: model.pause(lease, reason, 0))


@app.command()
def resume(config: File, task: Task, as_json: Json = False) -> None:
    """Let a paused task go on; what was held against it is forgotten."""
    _change(config, task, as_json, "goes on", model.resume)


@app.command()
def release(config: File, task: Task, as_json: Json = False) -> None:
    """Have a task's holder hand it on to another, once its run has ended."""
    _change(config, task, as_json, "its holder was asked to hand it on", model.send_away)


def main(arguments: list[str]) -> int:
    """Run a subcommand; its exit code."""
    return run_app(app, "brackenloft fleet", arguments)
