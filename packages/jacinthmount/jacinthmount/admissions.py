"""Room among the waiting tokens of an account, decided in one place.

Answers a load of many batches that are handed in at all hosts at once: what
was admitted counts until its manifest is seen.
"""

__all__ = ('BatchAdmissions',)

RESERVED_S = 8.0


class _Reservation:
    __slots__ = ('subject', 'tokens', 'until')

    def __init__(self, *, subject: str, tokens: int, until: float) -> None:
        self.subject = subject
        self.tokens = tokens
        self.until = until


class BatchAdmissions:
    """Batches that were admitted and not yet seen in the store."""

    __slots__ = ('_reserved',)

    def __init__(self) -> None:
        """Starts with nothing reserved."""
        self._reserved: dict[str, _Reservation] = {}

    def admit(
        self,
        key: str,
        subject: str,
        *,
        tokens: int,
        waiting: int,
        cap: int,
        now: float,
    ) -> bool:
        """Reserves room for a batch if it fits.

        :param key: names the batch; a repeat counts once.
        :param subject: account and route for which the cap holds.
        :param waiting: tokens that wait in known batches.
        :param cap: most tokens, 0 for no limit.
        """
        reserved = self._count(key, subject, now)
        if cap and waiting + reserved + tokens > cap:
            return False
        self._reserved[key] = _Reservation(
            subject=subject,
            tokens=tokens,
            until=now + RESERVED_S,
        )
        return True

    def settle(self, key: str) -> None:
        """Ends the reservation of a batch whose manifest was seen."""
        self._reserved.pop(key, None)

    def _count(self, key: str, subject: str, now: float) -> int:
        for name in list(self._reserved):
            if now >= self._reserved[name].until:
                self._reserved.pop(name)
        return sum(
            one.tokens
            for reserved_key, one in self._reserved.items()
            if reserved_key != key and one.subject == subject
        )
