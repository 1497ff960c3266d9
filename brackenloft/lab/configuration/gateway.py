"""A gateway of a trial: ``brackenloft serve``, watched from outside, with a guard taken out if one is named.

    python -m brackenloft.lab.configuration.gateway CONFIG HISTORY PROCESS MUTANT

Its first line on standard output says where it listens.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import msgspec

from brackenloft import interface as api
from brackenloft.cli import main
from brackenloft.configuration.client import ControlClient
from brackenloft.edge import Edge
from brackenloft.lab.configuration.events import EventWriter, Served, log_to, now_ms
from brackenloft.lab.configuration.instrument import observe
from brackenloft.lab.configuration.mutants import MUTANTS
from brackenloft.lab.fleet.control import die_with_parent
from brackenloft.policy import Gateway


class Watch:
    """What the wrapped methods share: the history, and the client once there is one."""

    def __init__(self, history: Path, process: str) -> None:
        self.writer, self.process = EventWriter(history), process
        self.client: ControlClient | None = None

    def install(self) -> None:
        """Wrap the program's methods, before it runs."""
        self._watch_listening()
        self._watch_client()
        self._watch_requests()

    def _watch_listening(self) -> None:
        listen = Edge.listen

        def observed(edge: Edge, host: str, port: int) -> Any:
            address = listen(edge, host, port)
            sys.stdout.buffer.write(msgspec.json.encode({"port": address[1]}) + b"\n")
            sys.stdout.buffer.flush()
            return address

        Edge.listen = observed  # type: ignore[method-assign, assignment]

    def _watch_client(self) -> None:
        start = ControlClient.start

        def observed(client: ControlClient) -> ControlClient:
            self.client = client
            observe(client, self.writer, self.process)
            return start(client)

        ControlClient.start = observed  # type: ignore[method-assign, assignment]

    def _watch_requests(self) -> None:
        take = Gateway._on_request

        def observed(gateway: Gateway, event: api.Request) -> None:
            at_ms = now_ms()
            take(gateway, event)
            flight = gateway.flights.get(event.request_id)
            if flight and self.client:
                run, revision, plan = self.client.follower.run, self.client.revision, flight.plan
                self.writer.write(Served(at_ms, run, revision, event.customer, plan.name, plan.rate))

        Gateway._on_request = observed  # type: ignore[method-assign, assignment]


if __name__ == "__main__":
    die_with_parent()
    config, history, process, mutant = sys.argv[1:5]
    log_to(Path(config).with_suffix(".log"))
    if mutant:
        MUTANTS[mutant]()
    Watch(Path(history), process).install()
    sys.exit(main(["serve", "--config", config]))
