"""Digests by which repeats of a request are recognised on all hosts."""

import hashlib

__all__ = ('digest_item', 'digest_request', 'digest_stream')

DIGEST_BYTES = 16
KEY_BYTES = 32
STREAM_DIGEST_BYTES = 8


def digest_request(
    account: str, route: str, method: str, target: str, body: bytes
) -> str:
    """Digests what a repeat of a request has in common with it.

    Neither its id nor its other headers are part of it. The digest is keyed by
    the account, so accounts never have one in common.

    :param route: its name, since a host name has several spellings.
    :returns: hexadecimal digits.
    """
    head = f'{method} {route} {target}\n'.encode()
    digest = hashlib.blake2b(
        head, digest_size=DIGEST_BYTES, key=_make_key(account)
    )
    digest.update(body)
    return digest.hexdigest()


def digest_item(account: str, batch: str, item_id: str) -> str:
    """Digests the identity of a batch item, which may equal no request.

    :param batch: key of its batch.
    :returns: hexadecimal digits.
    """
    return hashlib.blake2b(
        f'{batch}\n{item_id}'.encode(),
        digest_size=DIGEST_BYTES,
        key=_make_key(account),
        person=b'item',
    ).hexdigest()


def digest_stream(account: str, request_id: str) -> str:
    """Digests the id of the request that brought the first event of a stream.

    :returns: hexadecimal digits.
    """
    return hashlib.blake2b(
        request_id.encode(),
        digest_size=STREAM_DIGEST_BYTES,
        key=_make_key(account),
        person=b'stream',
    ).hexdigest()


def _make_key(account: str) -> bytes:
    return hashlib.blake2b(account.encode(), digest_size=KEY_BYTES).digest()
