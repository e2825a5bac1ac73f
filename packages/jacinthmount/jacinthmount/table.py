"""Versioned configuration table that never goes back."""

from jacinthmount.hashing import hash_text
from jacinthmount.ports import Listing, Stored
from jacinthmount.records import Record

__all__ = ('BucketVersions', 'ConfigTable')

DIGEST_BUCKETS = 64


class BucketVersions(Record):
    """Names and versions of the objects in one digest bucket."""

    __slots__ = ('bucket', 'versions')

    bucket: int
    versions: dict[str, int]


class ConfigTable:
    """Objects by name, each with the highest version seen.

    A deletion is kept as an object without a body, so that an older copy can't
    bring the object back.
    """

    __slots__ = ('_buckets', '_digest', '_floor', '_current', 'revision')

    def __init__(self) -> None:
        """Starts empty."""
        self._current: dict[str, Stored] = {}
        self._buckets: list[dict[str, int]] = [
            {} for _ in range(DIGEST_BUCKETS)
        ]
        self._digest = [0 for _ in range(DIGEST_BUCKETS)]
        self._floor = 0
        self.revision = 0

    def merge(self, objects: list[Stored]) -> list[Stored]:
        """Takes the objects whose versions are higher than those held.

        :returns: the objects that changed the table.
        """
        return [one for one in objects if self._merge_one(one)]

    def load(self, listing: Listing) -> list[Stored]:
        """Takes a whole listing of the platform.

        Objects held here that the listing lacks were deleted. Objects unknown
        here and not newer than the listing were deleted as well.

        :returns: the objects that changed the table.
        """
        listed = {one.name for one in listing.objects}
        gone = [
            Stored(name=one.name, version=listing.revision, body=None)
            for one in self._current.values()
            if one.name not in listed
            and one.body is not None
            and one.version < listing.revision
        ]
        changed = self.merge([*listing.objects, *gone])
        self._floor = max(self._floor, listing.revision)
        return changed

    def read(self, name: str) -> Stored | None:
        """Reads an object in force, or None where absent or deleted."""
        found = self._current.get(name)
        return found if found and found.body is not None else None

    def iter_prefix(self, prefix: str):
        """Yields the objects in force whose names start with a prefix."""
        for name in sorted(self._current):
            if name.startswith(prefix):
                found = self._current[name]
                if found.body is not None:
                    yield found

    def digest(self) -> list[int]:
        """Summarizes names and versions, one number a bucket."""
        return list(self._digest)

    def differing(self, digest: list[int]) -> list[BucketVersions]:
        """Lists own versions in the buckets that differ from a digest."""
        if len(digest) != DIGEST_BUCKETS:
            return []
        return [
            BucketVersions(bucket=index, versions=dict(self._buckets[index]))
            for index, summary in enumerate(digest)
            if summary != self._digest[index]
        ]

    def versions_in_buckets(self, buckets: list[int]) -> list[BucketVersions]:
        """Lists own versions in the buckets named."""
        return [
            BucketVersions(bucket=index, versions=dict(self._buckets[index]))
            for index in buckets
            if 0 <= index < DIGEST_BUCKETS
        ]

    def newer_than(self, theirs: list[BucketVersions]) -> list[Stored]:
        """Lists own objects that are newer than those another host holds."""
        newer = []
        for bucket in theirs:
            if not 0 <= bucket.bucket < DIGEST_BUCKETS:
                continue
            for name, version in self._buckets[bucket.bucket].items():
                if version > bucket.versions.get(name, 0):
                    newer.append(self._current[name])
        return newer

    def is_behind(self, theirs: list[BucketVersions]) -> bool:
        """Tells whether another host holds anything newer."""
        return any(
            version > self._version(name)
            for bucket in theirs
            for name, version in bucket.versions.items()
        )

    def _version(self, name: str) -> int:
        found = self._current.get(name)
        return found.version if found else 0

    def _merge_one(self, one: Stored) -> bool:
        held = self._version(one.name)
        if one.version <= held:
            return False
        if not held and one.version <= self._floor and one.body is not None:
            return False
        bucket = hash_text(one.name) % DIGEST_BUCKETS
        if held:
            self._digest[bucket] ^= hash_text(f'{one.name}@{held}')
        self._digest[bucket] ^= hash_text(f'{one.name}@{one.version}')
        self._buckets[bucket][one.name] = one.version
        self._current[one.name] = one
        self.revision = max(self.revision, one.version)
        return True
