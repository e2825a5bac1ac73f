"""How often hosts report to runners, and how long what was said counts.

Answers fleets of any size: the reports that a runner takes in a second are
about as many from four hundred hosts as from a hundred, so that its work stays
what one process can do.
"""

__all__ = ('ReportPace',)

MIN_INTERVAL_S = 0.3
MIN_CHANGE_PAUSE_S = 0.01
# Reports a second that a runner takes at intervals from all hosts.
ACTIVE_REPORTS_PER_S = 300
STANDBY_REPORTS_PER_S = 50
CHANGES_PER_S = 1400
STORE_CALLS_PER_S = 100
MIN_STORE_RETRY_S = 0.5
FEEDERS_PER_S = 100
FEEDER_START_S = 0.5
FED_MARGIN_S = 0.7
CLAIM_MARGIN_S = 0.9
HOST_MARGIN_S = 1.2


class ReportPace:
    """Times in seconds that follow from the number of hosts."""

    __slots__ = ('_hosts',)

    def __init__(self, *, hosts: int) -> None:
        """Takes the number of registered hosts."""
        self._hosts = hosts

    @property
    def interval_s(self) -> float:
        """Tells after how long a host reports to the active runner again."""
        return max(MIN_INTERVAL_S, self._hosts / ACTIVE_REPORTS_PER_S)

    @property
    def standby_interval_s(self) -> float:
        """Tells after how long a host reports to each other runner again."""
        return max(MIN_INTERVAL_S, self._hosts / STANDBY_REPORTS_PER_S)

    @property
    def change_pause_s(self) -> float:
        """Tells how long changes are gathered before they are reported."""
        return max(MIN_CHANGE_PAUSE_S, self._hosts / CHANGES_PER_S)

    @property
    def update_source_lost_after_s(self) -> float:
        """Tells when another runner may step in for the one that feeds."""
        return self.interval_s + FED_MARGIN_S / 2

    @property
    def update_source_valid_s(self) -> float:
        """Tells how long an answer shows that the runner feeds this host."""
        return self.interval_s + FED_MARGIN_S

    @property
    def standby_updates_s(self) -> float:
        """Tells how long a runner that is not active may feed hosts instead.

        In a small fleet each host rather asks the store itself.
        """
        return max(0.0, self._hosts / FEEDERS_PER_S - FEEDER_START_S)

    @property
    def update_grace_s(self) -> float:
        """Tells how long a host that nobody feeds leaves the store alone."""
        return self.standby_updates_s

    @property
    def store_retry_s(self) -> float:
        """Tells after how long at most a host tries a store that was away."""
        return max(MIN_STORE_RETRY_S, 2 * self._hosts / STORE_CALLS_PER_S)

    @property
    def active_valid_s(self) -> float:
        """Tells how long a runner counts as active after it said so."""
        return self.interval_s + CLAIM_MARGIN_S

    @property
    def host_valid_s(self) -> float:
        """Tells how long counts until a silent host counts as gone."""
        return self.interval_s + HOST_MARGIN_S
