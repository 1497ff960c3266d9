"""Has a control client write into a history what it has in force, when it was enrolled and when it leaves.

The client is the program's own and stays as it is: what it calls is wrapped from outside, without an await
between what happens and the event that tells of it.
"""

from __future__ import annotations

from typing import Any

from brackenloft.configuration.client import ControlClient
from brackenloft.configuration.following import Position, Work
from brackenloft.configuration.messages import Changes, SnapshotOffer, Unchanged
from brackenloft.lab.configuration.events import (
    EventWriter,
    InForce,
    RunEnrolled,
    RunLeft,
    RunStarted,
    now_ms,
)


def observe(client: ControlClient, writer: EventWriter, process: str) -> None:
    """Write the events of a client that has not been started yet."""
    follower = client.follower
    writer.write(RunStarted(now_ms(), follower.run, follower.gateway, follower.region, process))
    _observe_answers(client, writer)
    _observe_swaps(client, writer)
    _observe_leaving(client, writer)


def _observe_answers(client: ControlClient, writer: EventWriter) -> None:
    answered, enrolled = client.core.answered, False

    def observed(number: int, answer: Any, at_ms: float, draw: float) -> Work | None:
        nonlocal enrolled
        if not enrolled and isinstance(answer, Unchanged | Changes | SnapshotOffer):
            enrolled = True
            writer.write(RunEnrolled(now_ms(), client.follower.run))
        return answered(number, answer, at_ms, draw)

    client.core.answered = observed  # type: ignore[method-assign, assignment]


def _observe_swaps(client: ControlClient, writer: EventWriter) -> None:
    put_in_force = client.core.put_in_force

    def observed(position: Position) -> None:
        put_in_force(position)
        writer.write(InForce(now_ms(), client.follower.run, position.revision, position.digest))

    client.core.put_in_force = observed  # type: ignore[method-assign]


def _observe_leaving(client: ControlClient, writer: EventWriter) -> None:
    leave = client._leave

    async def observed() -> None:
        writer.write(RunLeft(now_ms(), client.follower.run))
        await leave()

    client._leave = observed  # type: ignore[method-assign]
