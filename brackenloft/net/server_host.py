"""A server as the pool of connections knows it."""

from __future__ import annotations

import asyncio
from collections import deque
from math import inf
from typing import TYPE_CHECKING

from brackenloft.net.address import Address
from brackenloft.net.attempt import Attempt

if TYPE_CHECKING:
    from brackenloft.net.server_connection import Connection


class Host:
    """A server as discovery last told it. Each change that makes old connections useless is an epoch."""

    __slots__ = ("address", "started", "ready", "idle", "epoch", "coming_up", "waiting", "timer", "extra_at")

    def __init__(self) -> None:
        self.address: Address = ("", 0)
        self.started, self.ready, self.epoch = 0.0, False, 0
        self.idle: list[Connection] = []  # the most recently used last
        self.coming_up = 0  # connections that are not up yet
        self.waiting: deque[Attempt] = deque()  # for one of these or an idle one that has rested
        self.timer: asyncio.TimerHandle | None = None  # for the latter
        self.extra_at = -inf  # it has last sent what nobody had asked for, by the loop's clock
