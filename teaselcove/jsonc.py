"""Parser for JSON with comments that records line numbers."""

import json
from pathlib import Path
from typing import Any

import msgspec
from lark import Lark, Token, Transformer, v_args
from lark.exceptions import UnexpectedInput, VisitError

from teaselcove.errors import FieldError, TeaselcoveError

GRAMMAR = r"""
start: node
?node: object | array | string | number | literal
object: "{" [pair ("," pair)* [","]] "}"
pair: STRING ":" node
array: "[" [node ("," node)* [","]] "]"
string: STRING
number: NUMBER
literal: LITERAL
LITERAL: "true" | "false" | "null"
STRING: /"(\\.|[^"\\\n])*"/
NUMBER: /-?(0|[1-9][0-9]*)(\.[0-9]+)?([eE][+-]?[0-9]+)?/
COMMENT: /\/\/[^\n]*/ | /\/\*(.|\n)*?\*\//
%ignore COMMENT
%ignore /[ \t\r\n]+/
"""

PathPart = str | int
FieldPath = tuple[PathPart, ...]


class Document(msgspec.Struct):
    """A parsed file.

    Attributes:
        path: The file's path.
        root: The data, as the module `json` would return it.
        lines: Line of each value, by path of names and indices.
        spans: Start and end offsets of objects and arrays, by path.
    """

    path: str
    root: Any
    lines: dict[FieldPath, int]
    spans: dict[FieldPath, tuple[int, int]] = {}

    def line_of(self, field_path: FieldPath) -> int:
        """Returns the line of a value or its nearest known ancestor."""
        for length in range(len(field_path), -1, -1):
            line = self.lines.get(field_path[:length])
            if line is not None:
                return line
        return 1

    def error(self, field_path: FieldPath, problem: str) -> FieldError:
        """Returns an error with the file, line and path of a value."""
        names = '.'.join(str(step) for step in field_path)
        return FieldError(self.path, self.line_of(field_path), names, problem)


class Node(msgspec.Struct):
    """A parsed value with its position."""

    line: int
    value: Any
    span: tuple[int, int] | None = None


class Pair(msgspec.Struct):
    """A member of an object."""

    line: int
    name: str
    node: Node


@v_args(inline=True)
class TreeBuilder(Transformer):
    """Transforms the parse tree into nodes."""

    def start(self, node: Node) -> Node:
        """Returns the root node."""
        return node

    def string(self, token: Token) -> Node:
        """Returns the node of a string, number or literal."""
        return Node(token.line, parse_scalar(token))

    number = string
    literal = string

    def pair(self, token: Token, node: Node) -> Pair:
        """Returns a member of an object."""
        return Pair(token.line, parse_scalar(token), node)

    @v_args(inline=False, meta=True)
    def object(self, meta: Any, children: list[Pair | None]) -> Node:
        """Returns the node of an object."""
        members = [child for child in children if child is not None]
        return Node(meta.line, members, (meta.start_pos, meta.end_pos))

    @v_args(inline=False, meta=True)
    def array(self, meta: Any, children: list[Node | None]) -> Node:
        """Returns the node of an array."""
        nodes = [child for child in children if child is not None]
        span = (meta.start_pos, meta.end_pos)
        return Node(meta.line, tuple(nodes), span)


def parse_scalar(token: Token) -> Any:
    """Returns the value of a string, number or literal.

    Raises:
        ScalarError: If an escape, a character or a number is invalid.
    """
    try:
        loaded = json.loads(token)
        str(loaded).encode()
    except ValueError as error:
        raise ScalarError(token.line) from error
    return loaded


class ScalarError(TeaselcoveError):
    """A string or number matches the grammar but cannot be decoded."""

    def __init__(self, line: int) -> None:
        self.line = line
        super().__init__('not a valid string or number')


parser = Lark(
    GRAMMAR,
    parser='lalr',
    propagate_positions=True,
    maybe_placeholders=False,
)
builder = TreeBuilder()


def parse(text: str, path: str = '<text>') -> Document:
    """Parses JSON with comments.

    Raises:
        FieldError: If the text is invalid or an object repeats a name.
    """
    try:
        tree = parser.parse(text)
    except UnexpectedInput as error:
        line = max(1, getattr(error, 'line', 1))
        raise FieldError(path, line, '', 'not valid JSON') from error
    try:
        node = builder.transform(tree)
    except VisitError as error:
        line = getattr(error.orig_exc, 'line', 1)
        raise FieldError(path, line, '', str(error.orig_exc)) from error
    document = Document(path, None, {})
    document.root = build_data(document, (), node)
    return document


def build_data(document: Document, field_path: FieldPath, node: Node) -> Any:
    """Returns plain data and records the position of each value."""
    document.lines[field_path] = node.line
    if node.span is not None:
        document.spans[field_path] = node.span
    if isinstance(node.value, list):
        members: dict[str, Any] = {}
        for pair in node.value:
            member_path = (*field_path, pair.name)
            if pair.name in members:
                document.lines[member_path] = pair.line
                raise document.error(member_path, 'name stands twice')
            members[pair.name] = build_data(document, member_path, pair.node)
            document.lines[member_path] = pair.line
        return members
    if isinstance(node.value, tuple):
        return [
            build_data(document, (*field_path, index), child)
            for index, child in enumerate(node.value)
        ]
    return node.value


def load(path: Path) -> Document:
    """Parses a file.

    Raises:
        FieldError: If the file cannot be read or is invalid.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise FieldError(str(path), 1, '', str(error)) from error
    return parse(text, str(path))
