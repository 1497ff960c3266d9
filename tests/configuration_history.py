"""A short history of revisions, and entries of gateway processes, for tests of the disk."""

from __future__ import annotations

from brackenloft.configuration.builder import apply
from brackenloft.configuration.disk import RosterEntry
from brackenloft.configuration.messages import Follower
from brackenloft.configuration.model import Delta, Items, Plan, Record
from brackenloft.configuration.tree import Tree

REVISIONS = 8


def history() -> tuple[list[Record], list[Tree]]:
    records, trees = [], [Tree.empty()]
    for base in range(REVISIONS):
        delta = Delta(base, Items(plans=(Plan(f"p{base % 3}", price=float(base + 1)),)))
        trees.append(apply(trees[-1], delta))
        records.append(Record(base + 1, trees[-1].digest, delta, "ana"))
    return records, trees


RECORDS, TREES = history()


def entry(gateway: int, in_force: int = 0, left: bool = False) -> RosterEntry:
    return RosterEntry(Follower(f"g{gateway}", "run", 1, "north"), in_force, left)
