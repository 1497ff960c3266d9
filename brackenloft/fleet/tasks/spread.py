"""Which gateways come first for a task: rendezvous hashing, so that a lost one moves only its own. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from clandestined import RendezvousHash

STANDBYS = 5  # that look at a task often; the others look seldom, and come in if all of these are lost


def order(task: str, gateways: int, first: int = STANDBYS) -> tuple[int, ...]:
    """The gateways that come first for a task, the best of them first."""
    ring = RendezvousHash(nodes=[str(index) for index in range(gateways)])
    found = []
    for _ in range(min(first, gateways)):
        node = ring.find_node(task)
        found.append(int(node))
        ring.remove_node(node)
    return tuple(found)


def ranks(tasks: Iterable[str], gateways: int, index: int) -> Mapping[str, int]:
    """Our place among those that come first for each task; STANDBYS where we are none of them."""
    orders = {task: order(task, gateways) for task in tasks}
    return {task: first.index(index) if index in first else STANDBYS for task, first in orders.items()}
