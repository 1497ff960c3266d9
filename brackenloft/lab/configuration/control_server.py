"""A control server of a trial: the program's own, which can be told to misbehave towards gateways.

    python -m brackenloft.lab.configuration.control_server CONFIG HISTORY PROCESS MUTANT

``damage``: the records that it hands out lack an item, under their old digest. ``lag``: it offers the
revision that stood when it was told so, as verified, whatever a gateway has in force.
"""

from __future__ import annotations

import asyncio
import logging
import sys
from pathlib import Path
from typing import Any

import msgspec

from brackenloft.configuration import codec, server_config
from brackenloft.configuration.following_service import FollowingService
from brackenloft.configuration.messages import Changes, FollowRequest, SnapshotOffer, Unchanged
from brackenloft.configuration.service import ControlService
from brackenloft.fleet.logs import as_json
from brackenloft.lab.configuration.events import log_to
from brackenloft.lab.configuration.mutants import MUTANTS
from brackenloft.lab.fleet import control


class Spoiler:
    """Changes what a server answers gateways, while it is told to."""

    def __init__(self, service: ControlService) -> None:
        self.service = service
        self.how = ""
        self.offer = SnapshotOffer(0, b"", (), 0.0)

    def set(self, order: dict[str, Any]) -> dict[str, Any]:
        """An order of the trial."""
        replica = self.service.replica
        self.how = order["how"]
        stands = replica.standing
        self.offer = SnapshotOffer(stands.revision, stands.digest, replica.tree.bucket_digests, 0.0)
        return {}

    def install(self) -> None:
        """Wrap the answers of this process's server."""
        encode = FollowingService._encode

        def spoilt(following: FollowingService, request: FollowRequest, answer: Any) -> bytes:
            if self.how == "damage" and isinstance(answer, Changes):
                return codec.encode(damaged(answer))
            if self.how == "lag":
                return codec.encode(self._old_answer(request))
            return encode(following, request, answer)

        FollowingService._encode = spoilt  # type: ignore[method-assign, assignment]

    def _old_answer(self, request: FollowRequest) -> Unchanged | SnapshotOffer:
        if request.in_force == self.offer.revision:
            return Unchanged(self.offer.revision, 0.0)
        return self.offer


def damaged(answer: Changes) -> Changes:
    """The same records, the last without one of the items that it puts in."""
    *rest, last = answer.records
    put = last.delta.put
    changed = msgspec.structs.replace(put, tenants=put.tenants[1:], services=put.services[1:])
    delta = msgspec.structs.replace(last.delta, put=changed)
    return Changes((*rest, msgspec.structs.replace(last, delta=delta)), answer.verified_ms)


async def main(path: Path) -> None:
    """Serve until the input ends."""
    service = ControlService(server_config.load(path))
    spoiler = Spoiler(service)
    spoiler.install()
    await service.start()
    await control.serve({"port": service.http.address[1]}, spoiler.set)


if __name__ == "__main__":
    control.die_with_parent()
    config, _, _, mutant = sys.argv[1:5]
    log_to(Path(config).with_suffix(".log"))
    logging.basicConfig(stream=sys.stderr, level=logging.INFO)
    as_json()
    if mutant:
        MUTANTS[mutant]()
    asyncio.run(main(Path(config)))
