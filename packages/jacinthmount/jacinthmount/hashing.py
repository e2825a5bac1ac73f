"""Fast non-cryptographic hashes for ranks, digests and prefixes."""

import xxhash

__all__ = ('hash_hex', 'hash_text')


def hash_text(text: str) -> int:
    """Returns the 64-bit hash of a text."""
    return xxhash.xxh64_intdigest(text.encode())


def hash_hex(text: str) -> str:
    """Returns the 64-bit hash of a text as 16 hexadecimal digits."""
    return xxhash.xxh64_hexdigest(text.encode())
