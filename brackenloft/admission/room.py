"""Who is cut off when what is held outgrows the memory. Pure; sizes in bytes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

P = TypeVar("P")


def relief(held: float, most: float, holders: Mapping[P, int]) -> list[P]:
    """Those to be cut off so that at most ``most`` of the ``held`` bytes stay, the largest first.

    ``holders``: what each would set free. Guards against a peer of small needs that pays for large ones,
    because it is the one that asks just then.
    """
    gone: list[P] = []
    for peer in sorted(holders, key=lambda one: holders[one], reverse=True):
        if held <= most:
            break
        held -= holders[peer]
        gone.append(peer)
    return gone
