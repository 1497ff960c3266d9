"""Guards taken out of the fleet's code, by name, to see that trials and searches find it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from brackenloft.fleet.leases import fence, lease, terms
from brackenloft.fleet.registers import marks, members
from brackenloft.fleet.registers.model import Why


def short_guard() -> None:
    """Others take a lease before its holder has let go of it."""
    terms.Terms.free_at = lambda self, seen_ms, length_ms: seen_ms + 0.3 * length_ms  # type: ignore[method-assign]


def clock_after() -> None:
    """The holder counts from after the answer, not from before it asked."""
    plain = terms.Terms.until

    async def change(self: lease.Holding, step: Any) -> bool:
        good = await held(self, step)
        if good and not self.lost:
            self.until_ms = plain(self.leases.terms, self.leases.clock(), self.lease.length_ms)
        return good

    held = lease.Holding._change
    lease.Holding._change = change  # type: ignore[method-assign]


def token_not_compared() -> None:
    """The place takes whatever comes."""

    async def unfenced(client: Any, key: str, token: int, commands: Any) -> list[object]:
        async with client.pipeline(transaction=True) as pipe:
            pipe.execute_command("SET", key, token)
            for command in commands:
                pipe.execute_command(*command)
            answers: list[object] = await pipe.execute()
        return answers

    fence.fenced.__code__ = unfenced.__code__  # whoever has imported it already has it too


def blank_votes() -> None:
    """A store that came back blank, or older, is asked like any other."""
    plain = members.judge

    def judge(member: Any, running: Any, own: Any, known: Any, mine: members.Members) -> Any:
        why, theirs = plain(member, running, own, known, mine)
        return (None, theirs or mine) if why in (Why.BLANK, Why.RESTARTED) else (why, theirs)

    members.judge = judge
    marks.Marks.seen = lambda self, member, name, slot: True  # type: ignore[method-assign]


def no_check() -> None:
    """An act goes on without a look at the clock, and is not cut off."""
    lease.Holding.left_ms = lambda self: 1e6  # type: ignore[method-assign]


MUTANTS: dict[str, Callable[[], None]] = {
    "short_guard": short_guard,
    "clock_after": clock_after,
    "token_not_compared": token_not_compared,
    "blank_votes": blank_votes,
    "no_check": no_check,
}
