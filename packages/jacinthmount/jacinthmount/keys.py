"""Caller keys: made once, stored hashed, withdrawn for good."""

import hashlib
import hmac
import re
import secrets

from jacinthmount.errors import KeyMissing, KeyUnknown
from jacinthmount.records import Record

__all__ = (
    'KeyRecord',
    'Keyring',
    'hash_secret',
    'contains_key',
    'make_key',
    'parse_bearer',
)

KEY_MARK = 'jm'
KEY_PREFIX = 'fleet/keys/'
KEY_ID_BYTES = 6
SECRET_BYTES = 24
MAX_KEY_LENGTH = 256
KEY_PATTERN = re.compile(
    rf'{KEY_MARK}-[0-9a-f]{{{2 * KEY_ID_BYTES}}}'
    rf'-[0-9a-f]{{{2 * SECRET_BYTES}}}',
)


class KeyRecord(Record):
    """A granted key: its id, its account and the hash of its secret."""

    __slots__ = ('key_id', 'account', 'secret_hash', 'withdrawn', 'write_id')

    key_id: str
    account: str
    secret_hash: str
    withdrawn: bool
    write_id: str


def make_key() -> tuple[str, str]:
    """Makes a new key.

    :returns: the key id and the full key to hand to the caller.
    """
    key_id = secrets.token_hex(KEY_ID_BYTES)
    secret = secrets.token_hex(SECRET_BYTES)
    return key_id, f'{KEY_MARK}-{key_id}-{secret}'


def hash_secret(key: str) -> str:
    """Hashes a full key for storage."""
    return hashlib.sha256(key.encode()).hexdigest()


def parse_bearer(header: str) -> str:
    """Takes the key from an ``Authorization`` header.

    :raises KeyMissing: the header holds no bearer key.
    """
    scheme, _, key = header.partition(' ')
    if scheme.lower() != 'bearer' or not key.strip():
        raise KeyMissing(detail='send Authorization: Bearer KEY')
    return key.strip()


def contains_key(text: str) -> bool:
    """Tells whether a text contains something shaped like a key."""
    return KEY_PATTERN.search(text) is not None


class Keyring:
    """The keys in force; a withdrawn key id never comes back."""

    __slots__ = ('_keys', '_withdrawn')

    def __init__(self) -> None:
        """Starts without keys."""
        self._keys: dict[str, KeyRecord] = {}
        self._withdrawn: set[str] = set()

    def put(self, record: KeyRecord) -> None:
        """Takes a key record from the configuration."""
        if record.withdrawn:
            self.withdraw(record.key_id)
        elif record.key_id not in self._withdrawn:
            self._keys[record.key_id] = record

    def withdraw(self, key_id: str) -> bool:
        """Withdraws a key id for good.

        :returns: whether the id was not withdrawn before.
        """
        self._keys.pop(key_id, None)
        if key_id in self._withdrawn:
            return False
        self._withdrawn.add(key_id)
        return True

    def withdrawn_ids(self) -> list[str]:
        """Lists the withdrawn ids in order."""
        return sorted(self._withdrawn)

    def check(self, key: str) -> KeyRecord:
        """Finds the record of a key that is in force.

        :raises KeyUnknown: the key is malformed, unknown or withdrawn.
        """
        mark, _, rest = key.partition('-')
        key_id = rest.partition('-')[0]
        record = self._keys.get(key_id)
        if mark != KEY_MARK or record is None or len(key) > MAX_KEY_LENGTH:
            raise KeyUnknown(detail='unknown or withdrawn key')
        if not hmac.compare_digest(record.secret_hash, hash_secret(key)):
            raise KeyUnknown(detail='unknown or withdrawn key')
        return record

    def recheck(self, key_id: str) -> None:
        """Checks that a key admitted earlier is still in force.

        :raises KeyUnknown: the key was withdrawn.
        """
        if key_id not in self._keys:
            raise KeyUnknown(detail='unknown or withdrawn key')
