"""Several sources, one list: whose word counts, which node has an address, and what the decisions are told.

Pure: events and the time go in, updates of bounded size come out. The rules:

- A node is one name at one address. The same name elsewhere is another node; so is another name here. Neither
  has anything of the other: a new number, which is never used again.
- Sources have an order. UNION: whatever any of them lists. FALLBACK: only the first that is fresh counts.
- At one address listens one process. Of several nodes that one source has there, the last registered counts;
  of several sources, the first one's. The others keep their numbers and get no new work.
- A node is ready if the last word of every source that counts and has somebody at its address says so. A
  withdrawal by a stale source holds too: to leave a node idle costs less than to break a drain.
- What two sources tell of one node is the first one's, but its start, which is the later one.
- A node that flaps waits (flaps.py); one with a stale entry that can't be reached is out (strikes.py); one
  that is missing from a list is kept for a while if too many are (source.py).
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import count
from math import inf

from brackenloft import interface as api
from brackenloft.membership.flaps import Flaps
from brackenloft.membership.model import Address, Combine, Instance, Key, Said, SourceTerms, Tried, Update
from brackenloft.membership.source import Source
from brackenloft.membership.strikes import Strikes

MOST_AT_ONCE = 256  # addresses settled in one update: under 5 ms of a loop, the decisions' part included
Claims = dict[str, Instance]  # at an address, of one source, by name


@dataclass(slots=True)
class Listed:
    """A node as the decisions know it."""

    entry: api.ServerEntry
    wanted: bool  # ready by its sources, whatever flaps and strikes say


class Membership:
    """The merged view of all sources."""

    def __init__(self, terms: Iterable[SourceTerms], combine: Combine = Combine.UNION) -> None:
        self.sources = [Source(item) for item in terms]
        self.combine = combine
        self.claims: dict[Address, dict[int, Claims]] = {}  # by source
        self.nodes: dict[Key, Listed] = {}  # as told to the decisions
        self.keys: dict[int, Key] = {}  # by number
        self.at: dict[Address, set[Key]] = {}  # those of them at an address
        self.unused = count(1)  # never used again: an attempt at a node that is gone may still be out
        self.dirty: dict[Address, None] = {}  # to be settled, in this order
        self.wakes: list[tuple[float, Address]] = []  # addresses that stand otherwise once a time has come
        self.waking: dict[Address, float] = {}  # the next of them of each address
        self.flaps, self.strikes = Flaps(), Strikes()
        self.active: tuple[int, ...] = ()
        self.version = 0

    # ---- Events in

    def said(self, now: float, said: Said) -> None:
        """A source has answered."""
        source = self.sources[said.source]
        was_fresh = source.fresh(now)
        self._touch(said.source, source.take(now, said))
        if not was_fresh:  # it vouches again for those that are out for being stale
            self.dirty.update((key[1:], None) for key in self.strikes.out)

    def tried(self, now: float, tried: Tried) -> None:
        """A connect came up or failed. It counts only where nobody fresh vouches for the node."""
        key = self.keys.get(tried.server)
        if key is None:
            return
        if tried.reached:
            changed = self.strikes.reached(key)
        else:
            changed = self._doubtful(key, now) and self.strikes.failed(key, now, len(self.nodes))
        if changed:
            self.dirty[key[1:]] = None

    def _touch(self, number: int, touched: Iterable[Instance]) -> None:
        """Put what a source lists now at each address that it has named."""
        listed = self.sources[number].listed
        for instance in touched:
            address = instance.address
            sources = self.claims.setdefault(address, {})
            claims = sources.setdefault(number, {})
            now_listed = listed.get(instance.name)
            if now_listed is not None and now_listed.address == address:
                claims[instance.name] = now_listed
            else:
                claims.pop(instance.name, None)
                if not claims:
                    del sources[number]
                if not sources:
                    del self.claims[address]
            self.dirty[address] = None

    # ---- What counts

    def _counting(self, now: float) -> tuple[int, ...]:
        """The sources that count now."""
        if self.combine is Combine.UNION:
            return tuple(range(len(self.sources)))
        having = [number for number, source in enumerate(self.sources) if source.listed]
        fresh = [number for number in having if self.sources[number].fresh(now)]
        return tuple(fresh[:1] or having[:1])

    def _doubtful(self, key: Key, now: float) -> bool:
        """Whether nobody fresh vouches for a node."""
        sources = self.claims.get(key[1:], {})
        listing = [number for number in self.active if key[0] in sources.get(number, ())]
        return all(self.sources[number].doubtful(key[0], now) for number in listing)

    def stale(self, now: float, began: float = -inf) -> list[str]:
        """The names of sources that have said nothing for too long, or not since they were first asked."""
        return [
            source.terms.name
            for source in self.sources
            if not source.fresh(now) and now - began >= source.terms.stale_after_ms
        ]

    def held(self) -> int:
        """Entries that are kept although they are missing from their source's list."""
        return sum(len(source.held) for source in self.sources)

    # ---- Updates out

    def due(self, now: float) -> float:
        """When time alone changes something; at once if something is to be settled."""
        if self.dirty or self._counting(now) != self.active:
            return -inf
        times = [source.due() for source in self.sources]
        if self.wakes:
            times.append(self.wakes[0][0])
        if self.combine is Combine.FALLBACK:
            times += [
                self.sources[number].stale_at() for number in self.active if self.sources[number].fresh(now)
            ]
        return min(times, default=inf)

    def settle(self, now: float, most: int = MOST_AT_ONCE) -> Update | None:
        """Settle some of what is due; what the decisions are to be told of it, None if it changes nothing."""
        self._pass_time(now, most)
        entries: list[api.ServerEntry] = []
        addresses: dict[int, Address] = {}
        for address in [address for address, _ in zip(self.dirty, range(most), strict=False)]:
            del self.dirty[address]
            self._settle(address, now, entries)
        for entry in entries:
            if entry.server in self.keys:
                addresses[entry.server] = self.keys[entry.server][1:]
        if not entries:
            return None
        self.version += 1
        return Update(api.ServerList(api.ListKind.CHANGES, tuple(entries), self.version), addresses)

    def _pass_time(self, now: float, most: int) -> None:
        for number, source in enumerate(self.sources):
            self._touch(number, source.expire(now, most))
        while self.wakes and self.wakes[0][0] <= now:
            at, address = heapq.heappop(self.wakes)
            self.dirty[address] = None
            if self.waking.get(address) == at:
                del self.waking[address]
        active = self._counting(now)
        if active != self.active:
            self.active = active
            self.dirty.update(dict.fromkeys(self.claims))
            self.dirty.update(dict.fromkeys(self.at))

    def _wake(self, at: float, address: Address) -> None:
        """Settle an address again at that time, or when it is settled before, which asks for it anew."""
        if at < self.waking.get(address, inf):
            self.waking[address] = at
            heapq.heappush(self.wakes, (at, address))

    def _settle(self, address: Address, now: float, entries: list[api.ServerEntry]) -> None:
        """Tell what has changed at an address."""
        known = self.at.get(address, set())
        stands = self._stands(address)
        for key in [key for key in known if key not in stands]:
            entries.append(self._remove(key))
        for key, (instance, wanted) in stands.items():
            before = self.nodes.get(key)
            ready = wanted and self._may(key, before, now)
            if not wanted:
                self.flaps.went(key)
            number = before.entry.server if before else next(self.unused)
            state = api.ServerState.READY if ready else api.ServerState.DRAINING
            entry = api.ServerEntry(
                number, instance.zone, instance.kind, instance.cell, state, instance.size, instance.started_ms
            )
            if before is None:
                self.nodes[key] = Listed(entry, wanted)
                self.keys[number] = key
                self.at.setdefault(address, set()).add(key)
            else:
                before.wanted = wanted
                if before.entry == entry:
                    continue
                before.entry = entry
            entries.append(entry)

    def _may(self, key: Key, before: Listed | None, now: float) -> bool:
        """Whether a node that its sources call ready is sent to."""
        if before is None and self.flaps.was_here(key) or before is not None and not before.wanted:
            self.flaps.came_back(key, now, len(self.nodes))
        if not self._doubtful(key, now):
            self.strikes.forget(key)
        until = max(self.flaps.wait_until(key, now), self.strikes.out_until(key, now))
        if until > now:
            self._wake(until, key[1:])
        return until <= now

    def _remove(self, key: Key) -> api.ServerEntry:
        entry = self.nodes.pop(key).entry
        del self.keys[entry.server]
        address = key[1:]
        self.at[address].discard(key)
        if not self.at[address]:
            del self.at[address]
        self.flaps.left(key)
        self.strikes.forget(key)
        return replace(entry, state=api.ServerState.GONE)

    def _stands(self, address: Address) -> dict[Key, tuple[Instance, bool]]:
        """Who is listed at an address by the sources that count, and whether it is ready by them."""
        sources = self.claims.get(address, {})
        counting = [sources[number] for number in self.active if number in sources]
        merged: dict[Key, Instance] = {}
        for claims in counting:
            for instance in claims.values():
                first = merged.get(instance.key)
                merged[instance.key] = instance if first is None else _later_start(first, instance)
        if not merged:
            return {}
        last_words = [max(claims.values(), key=_claim) for claims in counting]
        holder, ready = last_words[0].key, all(instance.ready for instance in last_words)
        return {key: (instance, ready and key == holder) for key, instance in merged.items()}


def _claim(instance: Instance) -> tuple[float, float, str]:
    """Whose claim to an address is the stronger one among nodes of one source."""
    return instance.registered_ms, instance.started_ms, instance.name


def _later_start(first: Instance, other: Instance) -> Instance:
    if other.started_ms <= first.started_ms:
        return first
    return replace(first, started_ms=other.started_ms)
