"""One try of a client, and the gateway process that it is made at."""

from __future__ import annotations

from dataclasses import dataclass, field

from brackenloft.lab.customers import Customer
from brackenloft.lab.nodes import Job, Node
from brackenloft.lab.spec import Class


@dataclass(slots=True, eq=False)
class ClientTry:
    """One try of a client."""

    name: str
    customer: Customer
    kind: Class
    first_at: float  # of its first try
    tries: int
    at: float
    gives_up: float
    inside: bool  # whether the quota, seen as one, has room for the first try
    gateway: int = -1
    ended: bool = False
    sends: int = 0
    out: dict[int, tuple[Node, Job]] = field(default_factory=dict)
    jobs: list[Job] = field(default_factory=list)  # those that reached a node
    sent_at: list[float] = field(default_factory=list)

    def chain(self) -> str:
        """Its wish, the same for all tries; the idempotency key of a keyed class."""
        return f"{self.customer.number}/{self.first_at:.6f}"


class Seat:
    """One gateway's process, as clients see it: whether it is up, and what it has in hand."""

    def __init__(self, index: int) -> None:
        self.index = index
        self.asks: dict[str, ClientTry] = {}
        self.up = True
