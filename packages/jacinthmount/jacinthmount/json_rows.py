"""Parses JSON answers of which some members can't be read.

One member that is nested too deeply, has too long a number or is no JSON must
not cost the others. It is separated by its brackets and texts only.
"""

import json
import re
from collections.abc import Iterator
from typing import Any

from jacinthmount.errors import MalformedRecord

__all__ = ('Unreadable', 'parse_rows', 'replace_unencodable')

PARSE_ERRORS = (ValueError, RecursionError)
# Runs of brackets, texts and separators; the last is a text without an end.
TEXT = r'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
OUTER = re.compile(rf'[\[{{]+|[\]}}]+|{TEXT}|[,:]|"', re.DOTALL)
# Further inside only brackets count; a run goes on over what has none.
PLAIN = r'[^"\[\]{}]*+'
CHARS = r'[^"\\\[\]{}]*+'
PLAIN_TEXT = rf'"{CHARS}(?:\\[^\[\]{{}}]{CHARS})*+"'
OPENING = rf'(?:[\[{{]{PLAIN}(?:{PLAIN_TEXT}{PLAIN})*+)++'
INNER = re.compile(rf'{OPENING}|[\]}}]+|{TEXT}|"', re.DOTALL)
BRACKETS = frozenset(('[', '{'))
CLOSING = frozenset((']', '}'))
SEPARATORS = frozenset((',', ':'))


class Unreadable:
    """Stands for a member that can't be parsed."""

    __slots__ = ('reason',)

    def __init__(self, *, reason: str) -> None:
        self.reason = reason


def parse_rows(packed: bytes, levels: int) -> Any:
    """Parses an answer; what can't be read of it becomes :class:`Unreadable`.

    :param levels: depth of the members that are told apart, 1 for those of
        the answer itself.
    :raises MalformedRecord: the answer is not even separable into members.
    """
    parsed = _parse(packed.decode(errors='replace'), levels)
    if isinstance(parsed, Unreadable):
        raise MalformedRecord(detail=parsed.reason)
    return parsed


def replace_unencodable(text: str) -> str:
    """Replaces lone surrogates, which JSON can hold and a message can't."""
    if text.isascii():
        return text
    return text.encode(errors='replace').decode()


def _parse(text: str, levels: int) -> Any:
    try:
        return json.loads(text)
    except PARSE_ERRORS as exc:
        found = Unreadable(reason=f'{type(exc).__name__}: {exc}')
    try:
        return _parse_separately(text.strip(), levels) if levels else found
    except PARSE_ERRORS:
        # The first reason is that of the whole.
        return found


def _parse_separately(text: str, levels: int) -> list[Any] | dict[str, Any]:
    if text[:1] not in BRACKETS:
        raise ValueError('neither an object nor a list')
    children = list(_iter_children(text))
    if text[0] == '{':
        return _parse_members(children, levels - 1)
    return [_parse(child, levels - 1) for child in children]


def _parse_members(children: list[str], levels: int) -> dict[str, Any]:
    names = [json.loads(name) for name in children[::2]]
    members = [_parse(text, levels) for text in children[1::2]]
    return dict(zip(names, members, strict=True))


def _iter_children(text: str) -> Iterator[str]:
    """Yields what is between the separators inside the outer brackets.

    :raises ValueError: a bracket or a text has no end.
    """
    depth = 1
    start = 1
    position = 1
    while found := (OUTER if depth == 1 else INNER).search(text, position):
        position = found.end()
        depth += _count_levels(found.group())
        if depth <= 0:
            yield text[start : position + depth - 1]
            return
        if depth == 1 and found.group() in SEPARATORS:
            yield text[start : found.start()]
            start = position
    raise ValueError('a bracket has no end')


def _count_levels(token: str) -> int:
    """Counts by how many levels a run of brackets goes down, or up.

    :raises ValueError: the token is a text without an end.
    """
    if token == '"':
        raise ValueError('a text has no end')
    if token[0] in BRACKETS:
        return token.count('[') + token.count('{')
    return -len(token) if token[0] in CLOSING else 0
