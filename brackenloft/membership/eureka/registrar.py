"""Keeps the gateway's own entry in a registry, as lease.py says, on a connection of its own."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from contextlib import suppress
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import httpx

from brackenloft.edge.edge import Edge
from brackenloft.lifecycle import State
from brackenloft.membership.eureka.lease import Lease, Step, Todo

log = logging.getLogger(__name__)

ANSWER_S = 5.0  # for each call
WITHDRAW_S = 1.0  # for all calls of leaving: the gateway's end does not wait for a registry


@dataclass(frozen=True, slots=True)
class Entry:
    """What the gateway says of itself."""

    urls: tuple[str, ...]
    app: str
    name: str
    host: str
    port: int
    vip: str = ""
    zone: str = ""
    health_url: str = ""
    interval_s: float = 30.0
    lease_s: float = 90.0

    def document(self, status: str, dirty_ms: int) -> dict[str, Any]:
        """The registration."""
        info: dict[str, Any] = {
            "instanceId": self.name,
            "app": self.app.upper(),
            "hostName": self.host,
            "ipAddr": self.host,
            "status": status,
            "overriddenStatus": "UNKNOWN",
            "vipAddress": self.vip or self.app.lower(),
            "port": {"$": self.port, "@enabled": "true"},
            "securePort": {"$": 0, "@enabled": "false"},
            "dataCenterInfo": {
                "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo",
                "name": "MyOwn",
            },
            "leaseInfo": {
                "renewalIntervalInSecs": round(self.interval_s),
                "durationInSecs": round(self.lease_s),
            },
            "metadata": {"zone": self.zone},
            "lastDirtyTimestamp": str(dirty_ms),
        }
        if self.health_url:
            info |= {"healthCheckUrl": self.health_url, "statusPageUrl": self.health_url}
        return {"instance": info}


class Registrar:
    """Registers, renews, reports the lifecycle's state, withdraws on ``close``."""

    def __init__(self, edge: Edge, entry: Entry) -> None:
        self.edge, self.entry = edge, entry
        self.lease = Lease(len(entry.urls), entry.interval_s * 1000.0)
        self.lease.state(edge.lifecycle.state)
        self.dirty_ms = int(time.time() * 1000.0)
        self.random = random.Random(edge.seed)
        self.news = asyncio.Event()
        self.complained = ""
        secure = any(url.startswith("https:") for url in entry.urls)
        self.http = httpx.AsyncClient(
            timeout=ANSWER_S,
            trust_env=False,
            follow_redirects=False,
            verify=secure,
            headers={"User-Agent": "brackenloft"},
        )
        edge.watchers.append(self._turn)
        self.task = asyncio.get_running_loop().create_task(self._run())

    def _turn(self, state: State) -> None:
        self.lease.state(state)
        self.dirty_ms = max(self.dirty_ms + 1, int(time.time() * 1000.0))
        self.news.set()

    async def close(self) -> None:
        """Withdraw; what is not done in ``WITHDRAW_S`` the lease's end will do."""
        self.edge.watchers.remove(self._turn)
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.lease.leave()
        with suppress(TimeoutError):
            async with asyncio.timeout(WITHDRAW_S):
                while todo := self.lease.next():
                    await self._do(todo)
        await self.http.aclose()

    async def _run(self) -> None:
        while todo := self.lease.next():
            self.news.clear()
            wait_s = (todo.at - self.edge.driver.clock()) / 1000.0
            if wait_s > 0.0:
                with suppress(TimeoutError):
                    async with asyncio.timeout(wait_s):
                        await self.news.wait()
                continue
            await self._do(todo)

    async def _do(self, todo: Todo) -> None:
        status, code = self.lease.status, None
        try:
            code = (await self._call(todo, status)).status_code
        except (httpx.HTTPError, httpx.InvalidURL, OSError) as error:
            self._complain(todo, f"{type(error).__name__} {error}")
        else:
            if code >= 400 and not (todo.step is Step.RENEW and code == 404):
                self._complain(todo, f"status {code}")
            else:
                self.complained = ""
        self.lease.answered(self.edge.driver.clock(), todo.step, status, code, self.random.random())

    def _complain(self, todo: Todo, words: str) -> None:
        words = f"{self.entry.urls[todo.server]} ({todo.step.value}): {words}"[:300]
        if words != self.complained:
            self.complained = words
            log.warning("our entry in the registry %s", words)

    async def _call(self, todo: Todo, status: str) -> httpx.Response:
        entry = self.entry
        place = f"{entry.urls[todo.server].rstrip('/')}/apps/{quote(entry.app.upper(), safe='')}"
        mine = f"{place}/{quote(entry.name, safe=':')}"
        if todo.step is Step.REGISTER:
            return await self.http.post(place, json=entry.document(status, self.dirty_ms))
        if todo.step is Step.WITHDRAW:
            return await self.http.delete(mine)
        return await self.http.put(mine, params={"status": status, "lastDirtyTimestamp": str(self.dirty_ms)})
