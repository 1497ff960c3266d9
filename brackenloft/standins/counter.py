"""A store that speaks the Redis protocol, as far as gateways use it, with scripted faults.

Commands and errors are those of the public command reference: strings and hashes with expiry, transactions
(WATCH, MULTI, EXEC), SCAN, INFO, TIME, WRONGTYPE, LOADING, READONLY, MOVED, BUSY, NOAUTH. ``rooms`` makes
two of them whose link can be cut: what is written at one reaches the other while it holds, the later write
of a field wins.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import secrets
import time
from collections import Counter as Tally
from collections.abc import Callable
from enum import Enum

import hiredis

from brackenloft.standins.ports import ReservedPort

READ = 64 * 1024


class Mood(Enum):
    """What is wrong with a counter."""

    WELL = "well"
    LOADING = "LOADING Redis is loading the dataset in memory"
    READONLY = "READONLY You can't write against a read only replica."
    MOVED = "MOVED 3999 127.0.0.1:1"
    BUSY = "BUSY Redis is busy running a script. You can only call SCRIPT KILL or SHUTDOWN NOSAVE."
    NOAUTH = "NOAUTH Authentication required."
    SILENT = "silent"  # it takes everything and answers nothing
    FORGETS = "forgets"  # it acknowledges and keeps nothing
    GARBLED = "garbled"  # figures come back as none
    HUGE = "huge"  # and here far too large


Hash = dict[bytes, bytes]


class Store:
    """Keys and what they hold; no sockets. ``now`` gives seconds."""

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self.now, self.mood = now, Mood.WELL
        self.values: dict[bytes, bytes | Hash] = {}
        self.ends: dict[bytes, float] = {}
        self.commands = 0
        self.copies: list[Store] = []  # that take over what is written here
        self.log: list[list[bytes]] = []  # written while the link was cut
        self.cut = False
        self.run_id, self.replid = secrets.token_hex(20), secrets.token_hex(20)
        self.touched: Tally[bytes] = Tally()  # how often each key was changed: what WATCH compares

    def wipe(self) -> None:
        """Another one takes its place, with nothing."""
        self.touched.update(self.values.keys())
        self.values.clear()
        self.ends.clear()

    def snapshot(self) -> dict[bytes, bytes | Hash]:
        """What it holds now."""
        return copy.deepcopy(self.values)

    def restore(self, values: dict[bytes, bytes | Hash]) -> None:
        """It holds what it held then."""
        self.wipe()
        self.values = copy.deepcopy(values)
        self.touched.update(self.values.keys())

    def run(self, words: list[bytes], copied: bool = False) -> bytes | None:
        """One command; its reply, or None for none."""
        name = words[0].upper()
        self.commands += not copied
        if not copied and self.mood is Mood.SILENT:
            return None
        if not copied and name not in (b"HELLO", b"CLIENT", b"PING", b"AUTH", b"SELECT"):
            if refused := self.refusal(name in WRITES):
                return refused
            if self.mood is Mood.FORGETS and name in WRITES:
                return OK if name == b"SET" else b":1\r\n"
        handler = HANDLERS.get(name)
        if handler is None:
            return UNKNOWN
        self._expire(words[1] if len(words) > 1 else b"")
        try:
            reply = handler(self, words)
        except (TypeError, AttributeError):
            return b"-WRONGTYPE Operation against a key holding the wrong kind of value\r\n"
        except (IndexError, ValueError):
            return b"-ERR wrong number of arguments\r\n"
        if name in WRITES:
            self.touched[words[1]] += 1
            if not copied:
                self._copy(words)
        return reply

    def refusal(self, writes: bool) -> bytes:
        """What it says to any command, or to one that writes, in its mood; nothing if it takes it."""
        if self.mood in DEAF or (writes and self.mood is Mood.READONLY):
            return b"-%b\r\n" % self.mood.value.encode()
        return b""

    def _copy(self, words: list[bytes]) -> None:
        if self.cut:
            self.log.append(words)
        else:
            for store in self.copies:
                store.run(words, copied=True)

    def mend(self) -> None:
        """The link holds again: what was written meanwhile goes over."""
        self.cut = False
        log, self.log = self.log, []
        for words in log:
            self._copy(words)

    def _expire(self, key: bytes) -> None:
        if self.ends.get(key, float("inf")) <= self.now():
            del self.ends[key], self.values[key]


def _bulk(value: bytes | None) -> bytes:
    return b"$-1\r\n" if value is None else b"$%d\r\n%b\r\n" % (len(value), value)


def _set(store: Store, words: list[bytes]) -> bytes:
    key, value, options = words[1], words[2], [word.upper() for word in words[3:]]
    if b"NX" in options and key in store.values:
        return b"$-1\r\n"
    store.values[key] = value
    store.ends.pop(key, None)
    return OK


def _get(store: Store, words: list[bytes]) -> bytes:
    value = store.values.get(words[1])
    if isinstance(value, dict):
        raise TypeError
    return _bulk(value)


def _hset(store: Store, words: list[bytes]) -> bytes:
    table = store.values.setdefault(words[1], {})
    if not isinstance(table, dict):
        raise TypeError
    if len(words) < 4 or len(words) % 2:
        raise IndexError
    new = 0
    for field, value in zip(words[2::2], words[3::2], strict=True):
        new += field not in table
        table[field] = value
    return b":%d\r\n" % new


def _hgetall(store: Store, words: list[bytes]) -> bytes:
    table = store.values.get(words[1], {})
    if not isinstance(table, dict):
        raise TypeError
    parts = [b"*%d\r\n" % (2 * len(table))]
    for field, value in table.items():
        if store.mood is Mood.GARBLED:
            value = b"-1e9"
        elif store.mood is Mood.HUGE:
            value = b"99999999999999:999999999999" if b":" in value else value
        parts += [_bulk(field), _bulk(value)]
    return b"".join(parts)


def _pexpire(store: Store, words: list[bytes]) -> bytes:
    if words[1] not in store.values:
        return b":0\r\n"
    store.ends[words[1]] = store.now() + int(words[2]) / 1000.0
    return b":1\r\n"


def _pong(store: Store, words: list[bytes]) -> bytes:
    return b"+PONG\r\n"


def _ok(store: Store, words: list[bytes]) -> bytes:
    return OK


def _hello(store: Store, words: list[bytes]) -> bytes:
    return b"-NOPROTO unsupported protocol version\r\n"


def _mget(store: Store, words: list[bytes]) -> bytes:
    found = [store.values.get(key) for key in words[1:]]
    if store.mood in (Mood.GARBLED, Mood.HUGE):
        spoilt = b"\x00\xff nonsense" if store.mood is Mood.GARBLED else b"9" * MOST_SPOILT
        found = [value and spoilt for value in found]
    return _array([_bulk(value if isinstance(value, bytes) else None) for value in found])


def _del(store: Store, words: list[bytes]) -> bytes:
    return b":%d\r\n" % sum(store.values.pop(key, None) is not None for key in words[1:])


def _hdel(store: Store, words: list[bytes]) -> bytes:
    table = store.values.get(words[1], {})
    if not isinstance(table, dict):
        raise TypeError
    return b":%d\r\n" % sum(table.pop(field, None) is not None for field in words[2:])


def _scan(store: Store, words: list[bytes]) -> bytes:
    """All at once: a cursor that ends at 0 in one step is allowed."""
    options = {words[at].upper(): words[at + 1] for at in range(2, len(words) - 1, 2)}
    prefix = options.get(b"MATCH", b"*").removesuffix(b"*").replace(b"\\", b"")
    keys = [_bulk(key) for key in list(store.values) if key.startswith(prefix)]
    return b"*2\r\n" + _bulk(b"0") + _array(keys)


def _info(store: Store, words: list[bytes]) -> bytes:
    return _bulk(
        b"# Server\r\nredis_version:7.2.0\r\nrun_id:%b\r\n# Replication\r\nrole:master\r\n"
        b"master_replid:%b\r\n" % (store.run_id.encode(), store.replid.encode())
    )


def _time(store: Store, words: list[bytes]) -> bytes:
    now = store.now()
    return _array([_bulk(b"%d" % now), _bulk(b"%d" % (now % 1.0 * 1e6))])


def _array(parts: list[bytes]) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(parts)


class Session:
    """One connection's transaction: what it watches, what it has queued."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.watched: dict[bytes, int] = {}
        self.queued: list[list[bytes]] | None = None
        self.spoilt = False

    def run(self, words: list[bytes]) -> bytes | None:
        """One command, at once or queued."""
        name = words[0].upper()
        if name in STEPS and self.store.mood is not Mood.SILENT:
            writes = any(each[0].upper() in WRITES for each in self.queued or ())
            if refused := self.store.refusal(name == b"EXEC" and writes):
                self._end()
                return refused
            return self._step(name, words)
        if self.queued is None or self.store.mood is Mood.SILENT:
            return self.store.run(words)
        if refused := self.store.refusal(name in WRITES) or (b"" if name in HANDLERS else UNKNOWN):
            self.spoilt = True
            return refused
        self.queued.append(words)
        return b"+QUEUED\r\n"

    def _end(self) -> None:
        self.watched, self.queued, self.spoilt = {}, None, False

    def _step(self, name: bytes, words: list[bytes]) -> bytes | None:
        if name == b"WATCH":
            self.watched.update((key, self.store.touched[key]) for key in words[1:])
            return OK
        if name == b"MULTI":
            self.queued = []
            return OK
        queued, spoilt = self.queued, self.spoilt
        changed = any(self.store.touched[key] != count for key, count in self.watched.items())
        self._end()
        if name != b"EXEC":
            return OK
        if queued is None:
            return b"-ERR EXEC without MULTI\r\n"
        if spoilt:
            return b"-EXECABORT Transaction discarded because of previous errors.\r\n"
        if changed:
            return b"*-1\r\n"
        return _array([self.store.run(each) or b"$-1\r\n" for each in queued])


OK = b"+OK\r\n"
UNKNOWN = b"-ERR unknown command\r\n"
STEPS = (b"WATCH", b"MULTI", b"EXEC", b"UNWATCH", b"DISCARD")
MOST_SPOILT = 1 << 20
DEAF = (Mood.LOADING, Mood.MOVED, Mood.BUSY, Mood.NOAUTH)
WRITES = {b"SET", b"HSET", b"PEXPIRE", b"DEL", b"HDEL"}
HANDLERS: dict[bytes, Callable[[Store, list[bytes]], bytes]] = {
    b"MGET": _mget,
    b"DEL": _del,
    b"HDEL": _hdel,
    b"SCAN": _scan,
    b"INFO": _info,
    b"TIME": _time,
    b"SET": _set,
    b"GET": _get,
    b"HSET": _hset,
    b"HGETALL": _hgetall,
    b"PEXPIRE": _pexpire,
    b"PING": _pong,
    b"CLIENT": _ok,
    b"AUTH": _ok,
    b"SELECT": _ok,
    b"HELLO": _hello,
}


class Counter:
    """A store behind a port."""

    def __init__(self, store: Store | None = None) -> None:
        self.store = store or Store()
        self.trips = 0  # packets that came: round trips of a client that pipelines
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.reserved: ReservedPort | None = None
        self.port = 0

    async def start(self) -> Counter:
        """Listen, at the same port again if it listened before."""
        if not self.port:
            self.reserved = ReservedPort()
            self.port = self.reserved.number
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        return self

    def kill(self) -> None:
        """It is gone, and its connections with it."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser, session = hiredis.Reader(), Session(self.store)
        self.writers.add(writer)
        with contextlib.suppress(OSError):
            while data := await reader.read(READ):
                self.trips += 1
                parser.feed(data)
                while (words := parser.gets()) is not False:
                    if (reply := session.run(words)) is not None:
                        writer.write(reply)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()


def rooms() -> tuple[Counter, Counter]:
    """Two that take over what is written at the other, while neither's link is cut."""
    one, other = Store(), Store()
    one.copies, other.copies = [other], [one]
    return Counter(one), Counter(other)
