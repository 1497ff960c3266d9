"""Every order of messages, losses, crashes and ticks of a few gateways over three stores, to a depth.

The cores are the product's own: rounds, slots, leases, terms. Round them stands a small world in which one
thing happens at a time; what may happen in a state is ``moves``. A state that was seen (times counted from
now, stores in any order) is entered once. The promise: no two gateways hold the lease at the same tick.

    python -m brackenloft.lab.fleet.explore [--mutant NAME] [--more N] [--most N]
"""

from __future__ import annotations

import argparse
import copy
import json
import sys
from collections import deque
from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from functools import partial

from brackenloft.fleet.leases import model as leases
from brackenloft.fleet.leases.model import Me
from brackenloft.fleet.leases.terms import Terms, View
from brackenloft.fleet.registers import model
from brackenloft.fleet.registers.members import Member, Members
from brackenloft.fleet.registers.model import EMPTY, Ballot, Held, Slot
from brackenloft.fleet.registers.rounds import End, Round, settled

STORES = tuple(Member(f"s{number}", f"s{number}-a") for number in range(3))
MEMBERS = Members(1, 0, STORES)
LENGTH = 300.0  # of a lease, in ticks of 100
TICK = 100.0
Move = tuple[str, int, int]  # what, at which gateway (or store), with which store


@dataclass(frozen=True)
class Guards:
    """What a mutant leaves out."""

    short_guard: bool = False  # others take a lease before its holder has let go
    clock_after: bool = False  # the holder counts from after the answer
    blank_votes: bool = False  # a store that came back blank is asked like the others
    stands_not_compared: bool = False  # a lease is taken by what it was when last seen


@dataclass(frozen=True)
class Budget:
    """How often each thing may go wrong within one path."""

    losses: int = 2
    crashes: int = 1
    blanks: int = 1
    ticks: int = 8


@dataclass
class Peer:
    """One gateway."""

    view: View = field(default_factory=View)
    step: Round | None = None
    doing: str = ""
    asked: float = 0.0
    looks: dict[Member, Slot] | None = None
    token: int = -1
    until: float = -1.0
    rounds: int = 0
    lives: int = 0


@dataclass
class World:
    """A state."""

    now: float
    stores: list[Slot]
    votes: list[bool]
    peers: list[Peer]
    left: Budget
    path: tuple[Move, ...] = ()

    def clone(self) -> World:
        """Another one that may go elsewhere."""
        peers = []
        for peer in self.peers:
            other = copy.copy(peer)
            other.view = copy.copy(peer.view)
            other.looks = dict(peer.looks) if peer.looks is not None else None
            if peer.step:
                other.step = copy.copy(peer.step)
                other.step.yes, other.step.no = dict(peer.step.yes), set(peer.step.no)
                other.step.silent = set(peer.step.silent)
            peers.append(other)
        return World(self.now, list(self.stores), list(self.votes), peers, self.left, self.path)

    def key(self) -> Hashable:
        """States with the same key go on alike, whichever store is which."""
        rows = []
        for peer in self.peers:
            step, view = peer.step, peer.view
            rows.append(
                (
                    view.version,
                    leases.stands(view.lease),
                    min(self.now - view.seen_ms, 2.0 * LENGTH),
                    step
                    and (peer.doing, type(step.ask), step.ask.ballot, step.ballot, self.now - peer.asked),
                    peer.looks is not None,
                    peer.token,
                    max(0.0, peer.until - self.now),
                    peer.rounds,
                )
            )
        places = []
        for store, member in enumerate(STORES):
            part = [self.stores[store], self.votes[store]]
            for peer in self.peers:
                step = peer.step
                part.append(step and (member in step.yes, member in step.no, member in step.silent))
                part.append(peer.looks.get(member) if peer.looks else None)
            places.append(tuple(part))
        return tuple(rows), tuple(sorted(places, key=repr)), self.left


def who(number: int, peer: Peer) -> Me:
    """The process that stands at a gateway's place now."""
    return Me(f"g{number}.{peer.lives}", number)


def _take(me: Me, seen: tuple[int, int, str], compares: bool, held: Held | None) -> bytes | None:
    lease = leases.read(held)
    if compares and leases.stands(lease) != seen:
        return None
    return leases.write(leases.take(lease, me, LENGTH, 0))


def _renew(me: Me, token: int, held: Held | None) -> bytes | None:
    lease = leases.renew(leases.read(held), me, token)
    return None if lease is None else leases.write(leases.beats(lease))


class Explorer:
    """Breadth first, from a fleet that knows nothing."""

    def __init__(self, gateways: int, guards: Guards, budget: Budget, drift: float = 0.0) -> None:
        self.guards, self.terms = guards, Terms(LENGTH, drift)
        self.first = World(
            0.0, [EMPTY] * len(STORES), [True] * len(STORES), [Peer() for _ in range(gateways)], budget
        )
        self.states = 0

    def search(self, depth: int, most: int, begin: Iterable[Move] = ()) -> tuple[Move, ...] | None:
        """A path that breaks the promise; None if there is none so deep behind ``begin``, or in ``most``."""
        for move in begin:
            self.play(self.first, move)
        seen: set[Hashable] = {self.first.key()}
        queue = deque([self.first])
        while queue and self.states < most:
            world = queue.popleft()
            if len(world.path) >= depth:
                continue
            for move in self.moves(world):
                after = world.clone()
                after.path = (*world.path, move)
                self.play(after, move)
                self.states += 1
                if self.broken(after):
                    return after.path
                key = after.key()
                if key not in seen:
                    seen.add(key)
                    queue.append(after)
        return None

    def broken(self, world: World) -> bool:
        """Two hold it."""
        return sum(peer.until > world.now for peer in world.peers) > 1

    # ---- What may happen

    def moves(self, world: World) -> Iterator[Move]:
        """In this state."""
        left = world.left
        for number, peer in enumerate(world.peers):
            if peer.step:
                yield from self._asks(peer.step, number, left.losses > 0)
            elif peer.looks is not None:
                yield from (
                    ("see", number, store) for store, member in enumerate(STORES) if member not in peer.looks
                )
            else:
                yield from self._begins(world, number, peer)
            if left.crashes and (peer.step or peer.until > world.now):
                yield "crash", number, 0
        if left.ticks:
            yield "tick", 0, 0
        if left.blanks:
            yield from (("blank", store, 0) for store, slot in enumerate(world.stores) if slot != EMPTY)

    def _asks(self, step: Round, number: int, losses: bool) -> Iterator[Move]:
        for store, member in enumerate(STORES):
            if member not in step.yes and member not in step.no | step.silent:
                yield "ask", number, store
                if losses:
                    yield "lose ask", number, store
                    yield "lose answer", number, store

    def _begins(self, world: World, number: int, peer: Peer) -> Iterator[Move]:
        if peer.until > world.now:
            yield "renew", number, 0
            return
        yield "look", number, 0
        free = peer.view.free_at(self.terms)
        if self.guards.short_guard and peer.view.lease and peer.view.lease.holder:
            free = peer.view.seen_ms + LENGTH / 3.0
        if world.now >= free:
            yield "take", number, 0

    # ---- What it does

    def play(self, world: World, move: Move) -> None:
        """Change a state by a move."""
        what, number, store = move
        if what == "tick":
            world.now += TICK
            world.left = replace(world.left, ticks=world.left.ticks - 1)
        elif what == "blank":
            world.stores[number] = EMPTY
            world.votes[number] = self.guards.blank_votes
            world.left = replace(world.left, blanks=world.left.blanks - 1)
        elif what == "crash":
            old = world.peers[number]
            world.peers[number] = Peer(lives=old.lives + 1)
            world.left = replace(world.left, crashes=world.left.crashes - 1)
        else:
            self._peer(world, what, number, world.peers[number], store)

    def _peer(self, world: World, what: str, number: int, peer: Peer, store: int) -> None:
        if what == "look":
            peer.looks = {}
        elif what == "see":
            self._see(world, peer, store)
        elif what in ("take", "renew"):
            self._begin(world, what, number, peer)
        else:
            self._ask(world, what, number, peer, store)

    def _begin(self, world: World, what: str, number: int, peer: Peer) -> None:
        me = who(number, peer)
        peer.asked, peer.doing, peer.rounds = world.now, what, peer.rounds + 1
        if what == "take":
            compares = not self.guards.stands_not_compared
            change: Callable[[Held | None], bytes | None] = partial(
                _take, me, leases.stands(peer.view.lease), compares
            )
        else:
            change = partial(_renew, me, peer.token)
        highest = max(slot.promised.number for slot in world.stores)  # as refusals would have told it
        peer.step = Round(MEMBERS, Ballot(highest + 1, me.who), f"{me.who}.{peer.rounds}", change)

    def _see(self, world: World, peer: Peer, store: int) -> None:
        assert peer.looks is not None
        if world.votes[store]:
            peer.looks[STORES[store]] = world.stores[store]
        else:
            peer.looks[STORES[store]] = Slot(Ballot(0, model.NOBODY), Ballot(-1 - store, model.NOBODY))
        known, held = settled(MEMBERS, {m: s for m, s in peer.looks.items() if s.accepted.number >= 0})
        if known:
            peer.view.saw(held.version if held else 0, leases.read(held), world.now)
        if known or len(peer.looks) == len(STORES):
            peer.looks = None

    def _ask(self, world: World, what: str, number: int, peer: Peer, store: int) -> None:
        step = peer.step
        assert step
        reply: model.Reply | None = None
        if what != "lose ask":
            if world.votes[store]:
                after, reply = model.answer(world.stores[store], step.ask)
                if after is not None:
                    world.stores[store] = after
            else:
                reply = model.Void(model.Why.BLANK)
        if what != "ask":
            reply = None
            world.left = replace(world.left, losses=world.left.losses - 1)
        step.heard(STORES[store], reply)
        if step.result:
            self._ended(world, number, peer)

    def _ended(self, world: World, number: int, peer: Peer) -> None:
        step, me = peer.step, who(number, peer)
        peer.step = None
        assert step and step.result
        result = step.result
        lease = leases.read(result.held) if result.end is End.CHOSEN else None
        if lease is None or result.held is None:
            return
        peer.view.saw(result.held.version, lease, world.now)
        if result.held.op == step.op and lease.holder == me.who:
            peer.token = lease.token
            asked = world.now if self.guards.clock_after else peer.asked
            peer.until = max(peer.until, self.terms.until(asked, lease.length_ms))


def run(
    gateways: int,
    guards: Guards,
    budget: Budget,
    depth: int,
    most: int,
    begin: Iterable[Move] = (),
) -> tuple[int, list[Move]]:
    """States looked at, and the path to a broken promise, if there is one."""
    explorer = Explorer(gateways, guards, budget)
    path = explorer.search(depth, most, begin)
    return explorer.states, list(path or [])


LOOKED: tuple[Move, ...] = (
    ("look", 0, 0),
    ("see", 0, 0),
    ("see", 0, 1),
    ("take", 0, 0),
    ("ask", 0, 0),
    ("ask", 0, 1),
)
HOLDS: tuple[Move, ...] = (*LOOKED, ("ask", 0, 0), ("ask", 0, 1))  # the first gateway holds the lease
SEEN: tuple[Move, ...] = (("look", 1, 0), ("see", 1, 0), ("see", 1, 1))  # and the second has seen it
UNTOLD: tuple[Move, ...] = (*LOOKED, ("ask", 0, 0), ("lose answer", 0, 1))  # it holds, and was not told
# Where each mutant shows soonest: gateways, what may go wrong, how deep, and from where on.
PLACES: dict[str, tuple[int, Budget, int, tuple[Move, ...]]] = {
    "short_guard": (2, Budget(0, 0, 0, 2), 8, (*HOLDS, *SEEN)),
    "clock_after": (2, Budget(1, 0, 0, 3), 10, (*UNTOLD, *SEEN)),
    "blank_votes": (2, Budget(0, 0, 1, 0), 10, HOLDS),
    "stands_not_compared": (2, Budget(0, 0, 0, 0), 14, LOOKED),
}
# What is searched without one: the same places, deeper, and a fleet of three from its start.
WHOLE: tuple[tuple[int, Budget, int, tuple[Move, ...]], ...] = (
    (2, Budget(1, 1, 1, 4), 11, (*HOLDS, *SEEN)),
    (2, Budget(2, 1, 0, 4), 11, (*UNTOLD, *SEEN)),
    (2, Budget(1, 0, 0, 4), 12, LOOKED),
    (3, Budget(1, 1, 1, 3), 9, HOLDS),
    (3, Budget(1, 0, 0, 2), 9, ()),
)


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--mutant", choices=sorted(PLACES))
    parser.add_argument("--more", type=int, default=0, help="so much deeper")
    parser.add_argument("--most", type=int, default=300_000, help="states of a search")
    options = parser.parse_args()
    places = [PLACES[options.mutant]] if options.mutant else WHOLE
    guards = Guards(**{options.mutant: True}) if options.mutant else Guards()
    found = 0
    for gateways, budget, depth, begin in places:
        states, path = run(gateways, guards, budget, depth + options.more, options.most, begin)
        found += bool(path)
        row = {"gateways": gateways, "depth": depth + options.more, "states": states, "path": path}
        print(json.dumps(row), flush=True)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
