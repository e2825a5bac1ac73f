"""Header rows as bytes, as HTTP sends them."""

__all__ = ('HeaderRows', 'pack_rows')

HeaderRows = list[tuple[str, str]]


def pack_rows(rows: HeaderRows) -> list[tuple[bytes, bytes]]:
    """Encodes names and values.

    Values that were received are text in Latin-1, so they keep their bytes.
    Other values with characters beyond it are encoded in UTF-8.
    """
    return [(name.encode('ascii'), _pack(text)) for name, text in rows]


def _pack(text: str) -> bytes:
    try:
        return text.encode('latin-1')
    except UnicodeEncodeError:
        return text.encode()
