"""From a text to a document, within the limits: tokens while lexing, nesting and counts while parsing.

graphql-core reads; this watches. A hostile document costs as much as the part of it up to its limit.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from graphql import GraphQLError, GraphQLSyntaxError, Source
from graphql.language import (
    DocumentNode,
    FieldNode,
    FragmentDefinitionNode,
    FragmentSpreadNode,
    OperationDefinitionNode,
    SelectionSetNode,
)
from graphql.language.lexer import Lexer
from graphql.language.parser import Parser
from graphql.language.token_kind import TokenKind

from brackenloft.graphql.limits import Code, Limits, Turned


class BoundedLexer(Lexer):
    """Counts tokens; comments are tokens too."""

    def __init__(self, source: Source, limits: Limits) -> None:
        super().__init__(source)
        self.limits, self.count = limits, 0

    def read_next_token(self, start: int) -> Any:
        """The next token, or Turned."""
        self.count += 1
        if self.count > self.limits.tokens:
            raise Turned(Code.TOKENS, f"more than {self.limits.tokens} tokens")
        return super().read_next_token(start)


class BoundedParser(Parser):
    """Counts nesting, aliases and directives as it goes.

    Lists and objects of values, and lists of types, count as nesting too: the parser calls itself for each.
    """

    def __init__(self, source: Source, limits: Limits) -> None:
        super().__init__(source, no_location=False, lexer=BoundedLexer(source, limits))
        self.limits = limits
        self.depth = self.aliases = self.directives = 0

    def _deeper(self) -> None:
        self.depth += 1
        if self.depth > self.limits.depth:
            raise Turned(Code.DEPTH, f"nested deeper than {self.limits.depth}")

    def parse_selection_set(self) -> SelectionSetNode:
        """``{...}``"""
        self._deeper()
        found = super().parse_selection_set()
        self.depth -= 1
        return found

    def parse_list(self, is_const: bool) -> Any:
        """``[...]``"""
        self._deeper()
        found = super().parse_list(is_const)
        self.depth -= 1
        return found

    def parse_object(self, is_const: bool) -> Any:
        """``{name: value}``"""
        self._deeper()
        found = super().parse_object(is_const)
        self.depth -= 1
        return found

    def parse_type_reference(self) -> Any:
        """``[Type!]``"""
        self._deeper()
        found = super().parse_type_reference()
        self.depth -= 1
        return found

    def parse_field(self) -> FieldNode:
        """A field; one with an alias counts."""
        if self._lexer.token.kind is TokenKind.NAME and self._lexer.lookahead().kind is TokenKind.COLON:
            self.aliases += 1
            if self.aliases > self.limits.aliases:
                raise Turned(Code.ALIASES, f"more than {self.limits.aliases} aliases")
        return super().parse_field()

    def parse_directive(self, is_const: bool) -> Any:
        """A directive."""
        self.directives += 1
        if self.directives > self.limits.directives:
            raise Turned(Code.DIRECTIVES, f"more than {self.limits.directives} directives")
        return super().parse_directive(is_const)


def read(text: str, limits: Limits) -> DocumentNode:
    """A document. Raises Turned."""
    if len(text.encode("utf-8", "surrogatepass")) > limits.document_bytes:
        raise Turned(Code.BYTES, f"a document of more than {limits.document_bytes} bytes", 413)
    try:
        document = BoundedParser(Source(text, "document"), limits).parse_document()
    except GraphQLSyntaxError as error:
        where = error.locations[0] if error.locations else None
        place = f" at line {where.line}, column {where.column}" if where else ""
        raise Turned(Code.PARSE, f"{error.message[:200]}{place}") from error
    except (GraphQLError, RecursionError, ValueError, OverflowError) as error:
        raise Turned(Code.PARSE, f"can't be read: {str(error)[:200]}") from error
    _check_fragments(document, limits)
    return document


@dataclass(slots=True)
class Spread:
    """A selection set with its fragments spread out: fields in all, levels, and those of its own level."""

    size: int = 0
    depth: int = 0
    names: list[tuple[str, int]] = field(default_factory=list)  # response name, and all that is below it


class Measure:
    """Sizes of selection sets; each fragment is measured once.

    Before validation. Guards against a short document that spreads out to any size, and against fields of one
    response name, which validation compares pair by pair with all that is below them: 4 KB took a second.
    """

    def __init__(self, fragments: dict[str, FragmentDefinitionNode], limits: Limits) -> None:
        self.fragments, self.limits = fragments, limits
        self.known: dict[str, Spread] = {}
        self.merges = 0

    def of(self, selections: SelectionSetNode, path: tuple[str, ...] = ()) -> Spread:
        """Measure one. Raises Turned."""
        found = Spread()
        item: Any  # a field, a spread or an inline fragment
        for item in selections.selections:
            if isinstance(item, FieldNode):
                inner = self.of(item.selection_set, path) if item.selection_set else Spread()
                name = item.alias.value if item.alias else item.name.value
                found.size += inner.size + 1
                found.depth = max(found.depth, inner.depth + 1)
                found.names.append((name, inner.size + 1))
                continue
            if isinstance(item, FragmentSpreadNode):
                inner = self._fragment(item.name.value, path)
            else:
                inner = self.of(item.selection_set, path)
            found.size += inner.size
            found.depth = max(found.depth, inner.depth)
            if found.size <= self.limits.fields:
                found.names += inner.names
        if found.size > self.limits.fields:
            raise Turned(Code.FIELDS, f"more than {self.limits.fields} fields")
        if found.depth > self.limits.depth:
            raise Turned(Code.DEPTH, f"nested deeper than {self.limits.depth}")
        self._merge(found)
        return found

    def _fragment(self, name: str, path: tuple[str, ...]) -> Spread:
        if name in path:
            raise Turned(Code.CYCLE, f"fragment {name[:60]} spreads itself")
        if name not in self.known:
            fragment = self.fragments.get(name)
            self.known[name] = self.of(fragment.selection_set, (*path, name)) if fragment else Spread()
        return self.known[name]

    def _merge(self, found: Spread) -> None:
        """Count what is compared with what."""
        together: dict[str, tuple[int, int]] = {}
        for name, size in found.names:
            number, total = together.get(name, (0, 0))
            together[name] = (number + 1, total + size)
        self.merges += sum(total * total for number, total in together.values() if number > 1)
        if self.merges > self.limits.merges:
            raise Turned(Code.MERGES, "too many fields of the same response names")


def _check_fragments(document: DocumentNode, limits: Limits) -> None:
    """Fragments without cycles, small once they are spread out, few root fields."""
    fragments = {
        item.name.value: item for item in document.definitions if isinstance(item, FragmentDefinitionNode)
    }
    measure = Measure(fragments, limits)
    for name in fragments:
        measure._fragment(name, ())
    for item in document.definitions:
        if isinstance(item, OperationDefinitionNode):
            measure.of(item.selection_set)
            if _roots(item.selection_set, fragments, limits) > limits.root_fields:
                raise Turned(Code.ROOT_FIELDS, f"more than {limits.root_fields} root fields")


def _roots(
    selections: SelectionSetNode,
    fragments: dict[str, FragmentDefinitionNode],
    limits: Limits,
) -> int:
    """Root fields, with fragments spread out; no more steps than fields, which are bounded by now."""
    count, todo = 0, [selections]
    item: Any
    while todo and count <= limits.root_fields:
        for item in todo.pop().selections:
            if isinstance(item, FieldNode):
                count += 1
            elif isinstance(item, FragmentSpreadNode):
                fragment = fragments.get(item.name.value)
                if fragment:
                    todo.append(fragment.selection_set)
            else:
                todo.append(item.selection_set)
    return count
