"""Fast hashes for ranks, digests and prefixes."""

import xxhash

__all__ = ('hash_hex', 'hash_text')


def hash_text(text: str) -> int:
    """Hashes a text to 64 bits."""
    return xxhash.xxh64_intdigest(text.encode())


def hash_hex(text: str) -> str:
    """Hashes a text to 16 hexadecimal digits."""
    return xxhash.xxh64_hexdigest(text.encode())
