"""Records of other coordinators, stored here before they may stand."""

from __future__ import annotations

from collections.abc import Callable

from brackenloft.configuration.catching_up import build
from brackenloft.configuration.disk import TooManyProposals
from brackenloft.configuration.messages import ProposalAnswer, Refused, Stored
from brackenloft.configuration.model import Record, Standing
from brackenloft.configuration.replica import Replica
from brackenloft.configuration.standing_reader import StandingReader
from brackenloft.configuration.storage import Storage
from brackenloft.configuration.tree import DigestMismatch

READ_WITHIN_S = 2.0


class Proposals:
    """Takes proposals that follow on what stands here."""

    def __init__(
        self, replica: Replica, storage: Storage, reader: StandingReader, clock_ms: Callable[[], float]
    ) -> None:
        self._replica, self._storage, self._reader, self._clock_ms = replica, storage, reader, clock_ms

    async def take(self, record: Record) -> ProposalAnswer:
        """Store a record, with the document after it checked against its digest."""
        replica = self._replica
        if record.delta.base != record.revision - 1:
            return Refused(f"record {record.revision} of base {record.delta.base}", replica.standing.revision)
        if replica.standing.revision < record.delta.base:
            await self._reader.read_since(self._clock_ms(), READ_WITHIN_S)
        stands = replica.standing
        if stands == Standing(record.revision, record.digest):
            return Stored()
        if stands.revision != record.delta.base:
            return Refused(f"revision {stands.revision} stands here", stands.revision)
        try:
            tree = await build(replica.tree, record)
            await self._storage.save_proposal(record)
        except (OSError, TooManyProposals, DigestMismatch) as error:
            return Refused(str(error), stands.revision)
        replica.propose(record, tree)
        return Stored()
