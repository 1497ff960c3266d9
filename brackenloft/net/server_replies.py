"""Answers of RESP2 servers as outcomes, with the usage figures and load reports that they carry."""

from __future__ import annotations

import logging
import re
from collections.abc import Mapping
from functools import lru_cache
from math import inf

from brackenloft import interface as api
from brackenloft.net.attempt import Reply
from brackenloft.net.resp import Answer, ProtocolError
from brackenloft.settings import REPORT_FIELD

log = logging.getLogger(__name__)

MOST_PERCENT = 100_000.0  # of a quota used: a thousand times
MOST_LOAD = 1_000_000.0  # of any figure in a load report
COST_LARGEST = 10.0  # how many times the largest guess the units that a request took may be
FIGURE = re.compile(r"[a-z_0-9]{1,20}=[0-9]{1,9}(\.[0-9]{1,20})?")
MOST_FIGURES = 1000  # texts that are remembered as read: the same come again and again


@lru_cache(MOST_FIGURES)
def _pairs(text: str) -> Mapping[str, float]:
    """``a=1,b=2`` as numbers; nothing at all if any of it is not of that form, negative or no number."""
    parts = text.split(",")
    if not all(FIGURE.fullmatch(part) for part in parts):
        return {}
    return {name: float(number) for name, _, number in (part.partition("=") for part in parts)}


class RespReplyDecoder:
    """Reads what servers answer, figures on use and load reports included.

    Figures that can't be read, or can't be, are dropped and the good value is served. Guards against what
    would stay in the decisions for long: an excess, a queue, a mean that is no number.
    """

    def __init__(self, load_fields: tuple[str, ...], largest_units: float) -> None:
        self.load_fields, self.most_cost = load_fields, COST_LARGEST * largest_units

    def decode(self, answer: Answer) -> Reply:
        """An answer as the protocol's table has it."""
        if isinstance(answer, str):
            return self._error(answer)
        value, *figures = answer
        reply = Reply(api.Status.OK, value)
        for text in figures:
            if text is not None:
                self._figures(reply, text.decode("latin-1"))
        return reply

    def _error(self, line: str) -> Reply:
        word, *rest = line.split(" ")
        if word not in ("ERR", "BUSY", "NOPERM", "SYNTAX"):
            raise ProtocolError("an error line that no server writes")
        if word == "SYNTAX":
            log.error("a server could not read a command: %.200s", line)
        reply = Reply(api.Status.FULL if word == "BUSY" else api.Status.ERROR)
        for figures in rest:
            self._figures(reply, figures)
        return reply

    def _figures(self, reply: Reply, text: str) -> None:
        figures = _pairs(text)
        if figures.get("used", inf) <= MOST_PERCENT:
            reply.used = figures["used"]
        if figures.get("cost", inf) <= self.most_cost:
            reply.cost = figures["cost"]
        load = {REPORT_FIELD.get(name, name): value for name, value in figures.items() if value <= MOST_LOAD}
        if self.load_fields and all(name in load for name in self.load_fields):
            reply.load = tuple(load[name] for name in self.load_fields)
