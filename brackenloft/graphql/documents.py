"""Documents read before, by the hash of their text: bounded, the longest unused first out. Pure."""

from __future__ import annotations

import hashlib
from collections import OrderedDict

from brackenloft.graphql.limits import Code, Limits, Turned
from brackenloft.graphql.plan import Prepared, prepare
from brackenloft.graphql.schema import Priced

MOST_DOCUMENTS = 1000  # kept: some tens of KB each, as a syntax tree; programs have some hundreds
MOST_BAD = 1000  # texts that were turned away, whose answer is kept


def digest(text: str) -> str:
    """The name of a text."""
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()


class Documents:
    """A cache of prepared documents, and persisted ones: named by clients, or allowed from the start.

    What is turned away is remembered too. Guards against a client that sends the same bad text again and
    again, which would cost a reading each time.
    """

    def __init__(
        self,
        priced: Priced,
        limits: Limits,
        allowed: tuple[str, ...] = (),
        only_allowed: bool = False,
        most: int = MOST_DOCUMENTS,
    ) -> None:
        self.priced, self.limits, self.most, self.only_allowed = priced, limits, most, only_allowed
        self.kept: OrderedDict[str, Prepared] = OrderedDict()
        self.bad: OrderedDict[str, Turned] = OrderedDict()
        self.allowed = {digest(text): prepare(text, priced, limits) for text in allowed}
        self.hits = self.misses = 0

    def named(self, name: str) -> Prepared:
        """A persisted document by its hash. Raises Turned."""
        found = self.allowed.get(name) or self.kept.get(name)
        if found is None:
            raise Turned(Code.NOT_FOUND, "no document of this hash is known: send its text too", 200)
        self.hits += 1
        if name in self.kept:
            self.kept.move_to_end(name)
        return found

    def known(self, text: str, name: str | None) -> Prepared | None:
        """A document by its text, whose hash it was said to be; None if it is to be read. Raises Turned."""
        if len(text) > self.limits.document_bytes:  # before it is hashed
            raise Turned(Code.BYTES, f"a document of more than {self.limits.document_bytes} bytes", 413)
        true = digest(text)
        if name is not None and name != true:
            raise Turned(Code.MISMATCH, "the document's hash is another")
        if true in self.allowed or true in self.kept:
            return self.named(true)
        if self.only_allowed:
            raise Turned(Code.ONLY_PERSISTED, "only documents that were allowed before are served", 403)
        if true in self.bad:
            before = self.bad[true]
            raise Turned(before.code, before.message, before.status)
        return None

    def read(self, text: str) -> Prepared | Turned:
        """Read one; touches nothing that is kept, so that it may be done in another thread."""
        try:
            return prepare(text, self.priced, self.limits)
        except Turned as error:
            return Turned(error.code, error.message, error.status)

    def keep(self, text: str, found: Prepared | Turned) -> Prepared:
        """Remember what was read. Raises Turned, if it was turned away."""
        self.misses += 1
        name = digest(text)
        if isinstance(found, Turned):
            self.bad[name] = found
            if len(self.bad) > MOST_BAD:
                self.bad.popitem(last=False)
            raise Turned(found.code, found.message, found.status)
        self.kept[name] = found
        if len(self.kept) > self.most:
            self.kept.popitem(last=False)
        return found

    def of(self, text: str, name: str | None) -> Prepared:
        """A document by its text, read at once if it is not known. Raises Turned."""
        return self.known(text, name) or self.keep(text, self.read(text))
