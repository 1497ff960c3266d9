"""A running gateway that follows the configuration: its plans and its tenants' plans are those in force."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

from brackenloft.configuration.client import ControlClient
from brackenloft.configuration.client_config import ClientConfig
from brackenloft.configuration.directory import DirectoryBuilder
from brackenloft.configuration.tree import Tree
from brackenloft.edge import Edge

log = logging.getLogger(__name__)


class EdgePlans:
    """Puts the plans of each revision in force at an edge; a target of ``applying``."""

    def __init__(self, edge: Edge) -> None:
        self.edge, self.builder = edge, DirectoryBuilder(edge.settings.plans)

    def prepare(self, tree: Tree) -> Iterator[None]:
        """Make the directory of plans, in short steps. ValueError for a plan that can't be kept."""
        return self.builder.steps(tree)

    def swap(self, tree: Tree) -> None:
        """From now on by this document. ValueError: the edge has ended."""
        if not self.edge.is_open:
            raise ValueError("the gateway has ended")
        directory = self.builder.current
        self.edge.put_plans(directory.plans, directory.names, directory.plan_of)


class Configured:
    """The control client of an edge while it is open."""

    def __init__(self, edge: Edge, config: ClientConfig) -> None:
        name = config.gateway or f"gateway-{edge.settings.index}"
        self.client = ControlClient(replace(config, gateway=name), EdgePlans(edge))

    def start(self) -> Configured:
        """Follow from now on; until a control server answers, the gateway serves by the plans of its file."""
        log.info("configuration: plans of the file are in force until a control server tells a revision")
        self.client.start()
        return self

    def figures(self) -> dict[str, Any]:
        """For the second address."""
        return {"plans_from": "document" if self.client.swaps else "file"} | self.client.figures()

    async def close(self) -> None:
        """Follow no more and say so: to be called once nothing is served any more."""
        await self.client.close()


def follow(edge: Edge, config: ClientConfig, figures: dict[str, Callable[[], object]]) -> Configured:
    """Follow the configuration for an open edge; its figures are read at ``configuration``."""
    configured = Configured(edge, config).start()
    figures["configuration"] = configured.figures
    return configured
