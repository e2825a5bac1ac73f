"""API keys of callers: creation, hashed storage and permanent withdrawal."""

import hashlib
import hmac
import re
import secrets

from jacinthmount.errors import KeyMissing, KeyUnknown
from jacinthmount.records import Record

__all__ = (
    'KeyRecord',
    'Keyring',
    'contains_key',
    'hash_secret',
    'make_key',
    'parse_bearer',
)

# First part of every key, which makes keys recognizable in any text.
KEY_SCHEME = 'jm'
KEY_PREFIX = 'fleet/keys/'
KEY_ID_BYTES = 6
SECRET_BYTES = 24
MAX_KEY_LENGTH = 256
KEY_PATTERN = re.compile(
    rf'{KEY_SCHEME}-[0-9a-f]{{{2 * KEY_ID_BYTES}}}'
    rf'-[0-9a-f]{{{2 * SECRET_BYTES}}}',
)


class KeyRecord(Record):
    """An issued key: its id, its account and the hash of the full key."""

    __slots__ = ('key_id', 'account', 'secret_hash', 'withdrawn', 'write_id')

    key_id: str
    account: str
    secret_hash: str
    withdrawn: bool
    write_id: str


def make_key() -> tuple[str, str]:
    """Creates a new key.

    :returns: the key id, and the full key for the caller.
    """
    key_id = secrets.token_hex(KEY_ID_BYTES)
    secret = secrets.token_hex(SECRET_BYTES)
    return key_id, f'{KEY_SCHEME}-{key_id}-{secret}'


def hash_secret(key: str) -> str:
    """Returns the hash under which a full key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def parse_bearer(header: str) -> str:
    """Returns the key of an ``Authorization`` header.

    :raises KeyMissing: the header has no bearer key.
    """
    scheme, _, key = header.partition(' ')
    if scheme.lower() != 'bearer' or not key.strip():
        raise KeyMissing(detail='send Authorization: Bearer KEY')
    return key.strip()


def contains_key(text: str) -> bool:
    """Returns whether a text contains a string in the format of a key."""
    return KEY_PATTERN.search(text) is not None


class Keyring:
    """The keys in force; the withdrawal of a key id is permanent."""

    __slots__ = ('_keys', '_withdrawn')

    def __init__(self) -> None:
        self._keys: dict[str, KeyRecord] = {}
        self._withdrawn: set[str] = set()

    def put(self, record: KeyRecord) -> None:
        """Adds or withdraws a key by its record in the configuration."""
        if record.withdrawn:
            self.withdraw(record.key_id)
        elif record.key_id not in self._withdrawn:
            self._keys[record.key_id] = record

    def withdraw(self, key_id: str) -> bool:
        """Withdraws a key id permanently.

        :returns: whether the id was not withdrawn before.
        """
        self._keys.pop(key_id, None)
        if key_id in self._withdrawn:
            return False
        self._withdrawn.add(key_id)
        return True

    def withdrawn_ids(self) -> list[str]:
        """Returns the withdrawn ids in sorted order."""
        return sorted(self._withdrawn)

    def check(self, key: str) -> KeyRecord:
        """Returns the record of a key that is in force.

        :raises KeyUnknown: the key is malformed, unknown or withdrawn.
        """
        prefix, _, rest = key.partition('-')
        key_id = rest.partition('-')[0]
        record = self._keys.get(key_id)
        if prefix != KEY_SCHEME or record is None or len(key) > MAX_KEY_LENGTH:
            raise KeyUnknown(detail='unknown or withdrawn key')
        if not hmac.compare_digest(record.secret_hash, hash_secret(key)):
            raise KeyUnknown(detail='unknown or withdrawn key')
        return record

    def recheck(self, key_id: str) -> None:
        """Checks that a key that was accepted before is still in force.

        :raises KeyUnknown: the key was withdrawn.
        """
        if key_id not in self._keys:
            raise KeyUnknown(detail='unknown or withdrawn key')
