"""What operators are told of a change that they checked or published. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import StrEnum

import msgspec

from brackenloft.configuration.messages import Conflict, Fault, Invalid, PublishAnswer, Published
from brackenloft.configuration.tree import Tree

DIGEST_CHARS = 12  # that are shown to people


class Outcome(StrEnum):
    """What became of a change."""

    PUBLISHED = "published"
    UNCHANGED = "unchanged"  # the document stands already
    INVALID = "invalid"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"


class PublishReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """One object for scripts. ``revision`` is what stands by it; ``digest`` is hexadecimal.

    ``may_stand``: it is not known whether the change was published; ask ``status``, or publish it again on
    the same base, which is a conflict if it was.
    """

    outcome: Outcome
    revision: int | None = None
    digest: str = ""
    faults: tuple[Fault, ...] = ()
    base: int | None = None
    reason: str = ""
    may_stand: bool = False

    @property
    def done(self) -> bool:
        """Whether the document is as it was wanted."""
        return self.outcome in (Outcome.PUBLISHED, Outcome.UNCHANGED)


class CheckReport(msgspec.Struct, frozen=True):
    """What is wrong with a file."""

    file: str
    valid: bool
    faults: tuple[Fault, ...]


def published(answer: PublishAnswer) -> PublishReport:
    """What a control server answered."""
    if isinstance(answer, Published):
        return PublishReport(Outcome.PUBLISHED, answer.revision, answer.digest.hex())
    if isinstance(answer, Invalid):
        return PublishReport(Outcome.INVALID, faults=answer.faults)
    if isinstance(answer, Conflict):
        return PublishReport(Outcome.CONFLICT, answer.standing, base=answer.base)
    return PublishReport(Outcome.UNAVAILABLE, reason=answer.reason, may_stand=answer.may_stand)


def unchanged(revision: int, tree: Tree) -> PublishReport:
    """Nothing was published, as the document stands already."""
    return PublishReport(Outcome.UNCHANGED, revision, tree.digest.hex())


def fault_lines(faults: Iterable[Fault]) -> Iterator[str]:
    """One line for each fault."""
    for fault in faults:
        yield f"{fault.path}: {fault.reason}" if fault.path else fault.reason


def publish_lines(told: PublishReport) -> Iterator[str]:
    """The report for people."""
    if told.outcome is Outcome.PUBLISHED:
        yield f"published {told.revision} (digest {told.digest[:DIGEST_CHARS]})"
    elif told.outcome is Outcome.UNCHANGED:
        yield f"nothing to publish: revision {told.revision} is this document"
    elif told.outcome is Outcome.INVALID:
        yield from fault_lines(told.faults)
        yield f"not published: {len(told.faults)} faults"
    elif told.outcome is Outcome.CONFLICT:
        yield f"not published: the change is one of revision {told.base}, and {told.revision} stands"
    elif told.may_stand:
        yield f"not known whether it is published: {told.reason}"
    else:
        yield f"not published: {told.reason}"


def check_lines(told: CheckReport) -> Iterator[str]:
    """The report for people."""
    yield from fault_lines(told.faults)
    yield f"{told.file}: {'good' if told.valid else f'{len(told.faults)} faults'}"
