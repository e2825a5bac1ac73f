"""Estimate of the memory that a parsed JSON text takes."""

import re

__all__ = ('estimate_parsed_bytes',)

# Sizes of the objects that CPython makes of a text.
OBJECT_BYTES = 184
LIST_BYTES = 72
TEXT_BYTES = 56
ENTRY_BYTES = 32
QUOTES_PER_TEXT = 2
# A text takes as many bytes for each character as its widest one needs.
WIDE_CHAR_BYTES = 4
MIDDLE_CHAR_BYTES = 2
# First bytes of such characters in UTF-8, and an escape that may stand for one.
WIDE = re.compile(rb'[\xf0-\xff]')
MIDDLE = re.compile(rb'[\xc4-\xff]')
ESCAPE = b'\x5cu'


def estimate_parsed_bytes(packed: bytes) -> int:
    """Returns an upper estimate for a text, without parsing it.

    :param packed: the text in UTF-8.
    """
    objects = packed.count(b'{') * OBJECT_BYTES
    lists = packed.count(b'[') * LIST_BYTES
    texts = packed.count(b'"') // QUOTES_PER_TEXT * TEXT_BYTES
    entries = packed.count(b',') * ENTRY_BYTES
    chars = len(packed) * _find_char_bytes(packed)
    return chars + objects + lists + texts + entries


def _find_char_bytes(packed: bytes) -> int:
    if ESCAPE in packed:
        return WIDE_CHAR_BYTES
    # Most texts are ASCII, which is found much faster than a pattern.
    if packed.isascii():
        return 1
    if WIDE.search(packed):
        return WIDE_CHAR_BYTES
    return MIDDLE_CHAR_BYTES if MIDDLE.search(packed) else 1
