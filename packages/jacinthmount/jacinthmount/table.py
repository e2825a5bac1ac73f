"""Replicated configuration table in which object versions only increase."""

from jacinthmount.hashing import hash_text
from jacinthmount.ports import Listing, Stored
from jacinthmount.records import Record

__all__ = ('BucketVersions', 'ConfigTable')

# Buckets in which the digests of two tables are compared.
DIGEST_BUCKETS = 64


class BucketVersions(Record):
    """Versions of the objects in stored digest bucket, by name."""

    __slots__ = ('bucket', 'versions')

    bucket: int
    versions: dict[str, int]


class ConfigTable:
    """The latest known version of each configuration object, by name.

    A deleted object is kept as a tombstone without a body, so that a stale copy
    can't restore it. Objects arrive one by one from peers, so the highest
    version, ``revision``, says nothing of those below it. Up to
    ``complete_revision`` the table lacks no change.
    """

    __slots__ = (
        '_buckets',
        '_digest',
        '_current',
        'complete_revision',
        'revision',
    )

    def __init__(self) -> None:
        self._current: dict[str, Stored] = {}
        self._buckets: list[dict[str, int]] = [
            {} for _ in range(DIGEST_BUCKETS)
        ]
        self._digest = [0 for _ in range(DIGEST_BUCKETS)]
        self.complete_revision = 0
        self.revision = 0

    def merge(self, objects: list[Stored]) -> list[Stored]:
        """Adds the objects with higher versions than those in the table.

        :returns: the objects that changed the table.
        """
        return [stored for stored in objects if self._merge_object(stored)]

    def load(self, listing: Listing) -> list[Stored]:
        """Merges a complete listing of the platform.

        Objects of the table that the listing does not contain were deleted. An
        object that neither contains was deleted too if its version is not
        newer than the listing, so a later merge ignores such a copy.

        :returns: the objects that changed the table.
        """
        listed = {stored.name for stored in listing.objects}
        deleted = [
            Stored(name=stored.name, version=listing.revision, body=None)
            for stored in self._current.values()
            if stored.name not in listed
            and stored.body is not None
            and stored.version < listing.revision
        ]
        changed = self.merge([*listing.objects, *deleted])
        self.complete_revision = max(self.complete_revision, listing.revision)
        return changed

    def follow(self, changes: list[Stored]) -> list[Stored]:
        """Merges all changes of the platform since ``complete_revision``.

        :returns: the objects that changed the table.
        """
        changed = self.merge(changes)
        newest = max((change.version for change in changes), default=0)
        self.complete_revision = max(self.complete_revision, newest)
        return changed

    def is_complete_at(self, revision: int) -> bool:
        """Returns whether each object of a revision is known here.

        One that is missing was deleted since, or written later.
        """
        return self.complete_revision >= revision

    def read(self, name: str) -> Stored | None:
        """Returns an object, or None if it does not exist or was deleted."""
        found = self._current.get(name)
        return found if found and found.body is not None else None

    def iter_prefix(self, prefix: str):
        """Yields the existing objects whose names start with a prefix."""
        for name in sorted(self._current):
            if name.startswith(prefix):
                found = self._current[name]
                if found.body is not None:
                    yield found

    def digest(self) -> list[int]:
        """Returns a hash of the names and versions in each bucket."""
        return list(self._digest)

    def differing(self, digest: list[int]) -> list[BucketVersions]:
        """Returns the versions in the buckets that differ from a digest."""
        if len(digest) != DIGEST_BUCKETS:
            return []
        return [
            BucketVersions(bucket=index, versions=dict(self._buckets[index]))
            for index, summary in enumerate(digest)
            if summary != self._digest[index]
        ]

    def versions_in_buckets(self, buckets: list[int]) -> list[BucketVersions]:
        """Returns the versions in the given buckets."""
        return [
            BucketVersions(bucket=index, versions=dict(self._buckets[index]))
            for index in buckets
            if 0 <= index < DIGEST_BUCKETS
        ]

    def newer_than(self, theirs: list[BucketVersions]) -> list[Stored]:
        """Returns the objects that are newer than those of another host."""
        newer = []
        for bucket in theirs:
            if not 0 <= bucket.bucket < DIGEST_BUCKETS:
                continue
            for name, version in self._buckets[bucket.bucket].items():
                if version > bucket.versions.get(name, 0):
                    newer.append(self._current[name])
        return newer

    def is_behind(self, theirs: list[BucketVersions]) -> bool:
        """Returns whether another host has a newer version of any object."""
        return any(
            version > self._version(name)
            for bucket in theirs
            for name, version in bucket.versions.items()
        )

    def _version(self, name: str) -> int:
        found = self._current.get(name)
        return found.version if found else 0

    def _merge_object(self, stored: Stored) -> bool:
        known_version = self._version(stored.name)
        if stored.version <= known_version:
            return False
        if (
            not known_version
            and stored.version <= self.complete_revision
            and stored.body is not None
        ):
            return False
        bucket = hash_text(stored.name) % DIGEST_BUCKETS
        if known_version:
            self._digest[bucket] ^= hash_text(f'{stored.name}@{known_version}')
        self._digest[bucket] ^= hash_text(f'{stored.name}@{stored.version}')
        self._buckets[bucket][stored.name] = stored.version
        self._current[stored.name] = stored
        self.revision = max(self.revision, stored.version)
        return True
