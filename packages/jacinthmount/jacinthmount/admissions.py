"""Admission of batches against the limit of waiting tokens.

Many batches may be submitted at all hosts at the same time, so one runner
admits them all. An admitted batch counts against the limit until its manifest
has been read from the store.
"""

__all__ = ('BatchAdmissions',)

# A reservation lapses after this time if no manifest has been read.
RESERVATION_VALID_S = 8.0


class _Reservation:
    __slots__ = ('subject', 'tokens', 'until')

    def __init__(self, *, subject: str, tokens: int, until: float) -> None:
        self.subject = subject
        self.tokens = tokens
        self.until = until


class BatchAdmissions:
    """Reservations of admitted batches whose manifest was not read yet."""

    __slots__ = ('_reserved',)

    def __init__(self) -> None:
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
        """Reserves tokens for a batch unless that exceeds the limit.

        :param key: key of the batch; a repeated request reserves only once.
        :param subject: account and route to which the limit applies.
        :param waiting: waiting tokens of batches whose manifest was read.
        :param cap: limit of waiting tokens; 0 means no limit.
        :param now: monotonic seconds.
        :returns: whether the batch was admitted.
        """
        reserved = self._reserved_tokens(key, subject, now)
        if cap and waiting + reserved + tokens > cap:
            return False
        self._reserved[key] = _Reservation(
            subject=subject,
            tokens=tokens,
            until=now + RESERVATION_VALID_S,
        )
        return True

    def settle(self, key: str) -> None:
        """Ends the reservation of a batch whose manifest was read."""
        self._reserved.pop(key, None)

    def _reserved_tokens(self, key: str, subject: str, now: float) -> int:
        for name in list(self._reserved):
            if now >= self._reserved[name].until:
                self._reserved.pop(name)
        return sum(
            reservation.tokens
            for reserved_key, reservation in self._reserved.items()
            if reserved_key != key and reservation.subject == subject
        )
