"""What only the event loop sees: exceptions of its callbacks, and of tasks that nobody waits for."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

log = logging.getLogger(__name__)


class LoopErrors:
    """Counts the loop's reports and writes each to the log, in a process that has the loop to itself."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.count = 0
        loop.set_exception_handler(self._report)

    def _report(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.count += 1
        error = context.get("exception")
        where = context.get("transport") or context.get("handle") or context.get("future") or ""
        log.error("the loop reports: %s %.200r", context.get("message"), where, exc_info=error)
