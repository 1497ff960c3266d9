"""Speaks the simulator's wire on standard input and output; decides nothing.

One process hosts many gateways, which share only the table of numbered server lists that the wire
declares for the whole process.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from brackenloft import interface as api
from brackenloft.policy import Gateway
from brackenloft.settings import Fields, settings_from

STATUS = {
    200: api.Status.OK,
    500: api.Status.ERROR,
    503: api.Status.FULL,
    504: api.Status.TIMEOUT,
    502: api.Status.CONNECT_FAILED,
    598: api.Status.RESET,
    499: api.Status.CANCELLED,
    410: api.Status.NOT_SENT,
}
STATE = {"U": api.ServerState.READY, "L": api.ServerState.DRAINING, "D": api.ServerState.GONE}
LIST_KIND = {
    "Partial": api.ListKind.CHANGES,
    "Complete": api.ListKind.FULL,
    "Persisted": api.ListKind.CACHED,
    "Error": api.ListKind.FAILED,
}


class WireError(Exception):
    """What came in is not the wire."""


def _entry(row: Fields) -> api.ServerEntry:
    return api.ServerEntry(
        server=row["server"],
        zone=row["locality"],
        kind=row["generation_hw"],
        cell=row["cluster"],
        state=STATE[row["phase"]],
        size=row["size"],
        started_ms=row["since_ms"] or 0.0,
    )


def _load(row: list[float] | None) -> tuple[float, ...] | None:
    return tuple(row) if row else None


def _request(f: Fields) -> api.Request:
    return api.Request(
        f["op_id"],
        f["priority"],
        f["plan"],
        f["member"],
        f["patience_left_ms"],
        f["units"],
        f["width"],
        f["base"],
        bool(f["retry"]),
        bool(f["update"]),
    )


def _outcome(f: Fields) -> api.Outcome:
    return api.Outcome(
        f["op_id"],
        f["seq_no"],
        f["server"],
        STATUS[f["code"]],
        f["delay_seen_ms"],
        bool(f["final"]),
        f["metered"] - 1 if f["metered"] else None,
        f["final_units"] or None,
        _load(f["gauge"]),
    )


EVENTS: dict[str, Callable[[Fields], api.Event]] = {
    "Knock": _request,
    "Outcome": _outcome,
    "Alarm": lambda f: api.TimerFired(f["mark"]),
    "Vanished": lambda f: api.ClientGone(f["op_id"]),
    "Flowing": lambda f: api.StreamStarted(f["op_id"], f["seq_no"], f["server"], f["delay_seen_ms"]),
    "Sampled": lambda f: api.ProbeResult(
        f["server"], STATUS[f["code"]], f["delay_seen_ms"], _load(f["gauge"])
    ),
    "Memo": lambda f: api.PeerMessage(f["origin_peer"], bytes.fromhex(f["body"])),
    "Reckoned": lambda f: api.CounterReply(
        f["counter_key"], STATUS[f["code"]], f["reading"] or 0.0, f["delay_seen_ms"]
    ),
}

ACTIONS: dict[type, Callable[[Any], tuple[str, Fields]]] = {
    api.Send: lambda a: ("Try", {"op_id": a.request_id, "server": a.server, "within_ms": a.timeout_ms}),
    api.Refuse: lambda a: ("OverloadReply", {"op_id": a.request_id, "stay_away_ms": a.retry_after_ms}),
    api.Fail: lambda a: ("RespondError", {"op_id": a.request_id}),
    api.Cancel: lambda a: ("AbortAttempt", {"op_id": a.request_id, "seq_no": a.attempt}),
    api.SetTimer: lambda a: ("Schedule", {"after_ms": a.delay_ms, "mark": a.token}),
    api.Log: lambda a: ("Debug", {"what": a.text}),
    api.Subscribe: lambda a: ("Follow", {"active": a.active}),
    api.FetchList: lambda a: ("Fetch", {}),
    api.Probe: lambda a: ("Touch", {"server": a.server}),
    api.CloseIdle: lambda a: ("DropConns", {"server": a.server}),
    api.TellPeer: lambda a: ("Share", {"dst": a.peer, "body": a.data.hex()}),
    api.CounterAdd: lambda a: (
        "Add",
        {"counter_key": a.name, "add": a.amount, "expire_in_ms": a.lifetime_ms},
    ),
}


class Host:
    """The gateways of one process and the server lists that the wire has declared to it."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.gateways: dict[str, Gateway] = {}
        self.lists: dict[int, tuple[api.ServerEntry, ...]] = {}
        self.reply: list[str] = []

    def message(self, name: str, fields: Fields) -> bool:
        """Take one message in; true when the batch is complete and ``reply`` is to be written."""
        if name == "Batch":
            self.now_ms, self.turn = float(fields["t_ms"]), fields["turn"]
        elif name == "Commit":
            self._write("Ack", {"turn": self.turn})
            return True
        elif name == "Roster":
            self.lists[fields["ref"]] = tuple(_entry(row) for row in fields["members_list"])
        else:
            self._instance(name, fields)
        return False

    def _instance(self, name: str, fields: Fields) -> None:
        instance = fields["i"]
        if name == "OpenInstance":
            env = fields["env"]
            settings = settings_from(json.loads(env) if isinstance(env, str) else env)
            self.gateways[instance] = Gateway(settings, fields["rng_seed"])
        elif name == "Destroy":
            self.gateways.pop(instance, None)
        elif name == "Discovery":
            kind = LIST_KIND[fields["scope"]]
            entries = () if kind is api.ListKind.FAILED else self.lists[fields["ref"]]
            self._deliver(instance, api.ServerList(kind, entries, fields["epoch"] or 0))
        elif name in EVENTS:
            self._deliver(instance, EVENTS[name](fields))
        else:
            raise WireError(f"unknown event {name!r}")

    def _deliver(self, instance: str, event: api.Event) -> None:
        gateway = self.gateways.get(instance)
        if gateway is None:
            raise WireError(f"event for instance {instance!r}, which is not open")
        try:
            actions = gateway.handle(self.now_ms, event)
        except Exception as error:  # the wire wants any fault of the module told, whatever it is
            self._write("BailOut", {"i": instance, "what": f"{type(error).__name__}: {error}"})
            return
        for action in actions:
            name, fields = ACTIONS[type(action)](action)
            self._write(name, {"i": instance, **fields})

    def _write(self, name: str, fields: Fields) -> None:
        self.reply.append(json.dumps({name: fields}, separators=(",", ":")))


def _take(host: Host, line: str) -> bool:
    """One line into the host; what is wrong with it becomes a WireError in plain words."""
    try:
        message = json.loads(line)
    except ValueError as error:
        raise WireError(f"not JSON: {error}") from None
    if not isinstance(message, dict) or len(message) != 1:
        raise WireError("a message is an object with a single key")
    ((name, fields),) = message.items()
    if not isinstance(fields, dict):
        raise WireError(f"{name}: its fields are not an object")
    try:
        return host.message(name, fields)
    except KeyError as error:
        raise WireError(f"{name}: missing field or unknown value {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise WireError(f"{name}: {error}") from None


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    for line in source:
        if line.strip() and _take(host, line):
            sink.write("\n".join(host.reply) + "\n")
            sink.flush()
            host.reply.clear()


def main() -> int:
    """Run the adapter; 0 at the end of input, 1 with a message on what is malformed."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"brackenloft adapter: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
