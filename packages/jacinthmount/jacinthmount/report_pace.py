"""Intervals of reports to runners and their validity, by fleet size.

A runner receives about as many reports per second from 400 hosts as from 100,
so that one process can handle them in a fleet of any size.
"""

__all__ = ('MIN_WATCH_WAIT_S', 'ReportPace')

MIN_INTERVAL_S = 0.3
MIN_CHANGE_PAUSE_S = 0.01
# Periodic reports per second that a runner receives from all hosts.
ACTIVE_REPORTS_PER_S = 300
STANDBY_REPORTS_PER_S = 50
CHANGE_REPORTS_PER_S = 1400
STORE_CALLS_PER_S = 25
MIN_STORE_RETRY_S = 0.5
MAX_STORE_RETRY_S = 6.0
MIN_WATCH_WAIT_S = 2.0
MAX_WATCH_WAIT_S = 20.0
# Hosts that watch the store themselves for each second that a call may wait.
WATCH_HOSTS_PER_S = 50
# Hosts that watch the store themselves for each second that they wait before.
GRACE_HOSTS_PER_S = 60
MAX_GRACE_S = 1.0
STANDBY_HOSTS_PER_S = 100
STANDBY_START_S = 0.5
UPDATE_MARGIN_S = 0.7
ACTIVE_MARGIN_S = 0.9
HOST_MARGIN_S = 1.2


class ReportPace:
    """Intervals and validity times for a number of hosts, in seconds."""

    __slots__ = ('_hosts',)

    def __init__(self, *, hosts: int) -> None:
        self._hosts = hosts

    @property
    def interval_s(self) -> float:
        """Interval of the reports of a host to the active runner."""
        return max(MIN_INTERVAL_S, self._hosts / ACTIVE_REPORTS_PER_S)

    @property
    def standby_interval_s(self) -> float:
        """Interval of the reports of a host to each standby."""
        return max(MIN_INTERVAL_S, self._hosts / STANDBY_REPORTS_PER_S)

    @property
    def change_pause_s(self) -> float:
        """Time for which changes are collected before they are reported."""
        return max(MIN_CHANGE_PAUSE_S, self._hosts / CHANGE_REPORTS_PER_S)

    @property
    def update_source_lost_after_s(self) -> float:
        """Time without updates after which another runner may send them."""
        return self.interval_s + UPDATE_MARGIN_S / 2

    @property
    def update_source_valid_s(self) -> float:
        """Time for which a runner counts as the source of updates."""
        return self.interval_s + UPDATE_MARGIN_S

    @property
    def standby_updates_s(self) -> float:
        """Time for which a standby may send updates to hosts instead.

        It is 0 in a small fleet, where each host queries the store itself.
        """
        return max(0.0, self._hosts / STANDBY_HOSTS_PER_S - STANDBY_START_S)

    @property
    def update_grace_s(self) -> float:
        """Time without a source of updates before a host queries the store."""
        waited_s = min(MAX_GRACE_S, self._hosts / GRACE_HOSTS_PER_S)
        return max(self.standby_updates_s, waited_s)

    @property
    def store_retry_s(self) -> float:
        """Longest pause before a host retries a store that was unavailable."""
        spread_s = 2 * self._hosts / STORE_CALLS_PER_S
        return min(MAX_STORE_RETRY_S, max(MIN_STORE_RETRY_S, spread_s))

    @property
    def watch_wait_s(self) -> float:
        """Longest wait of a watch call of a host without a source of updates.

        A change that is lost on the way goes unnoticed for about as long.
        """
        wait_s = self._hosts / WATCH_HOSTS_PER_S
        return min(MAX_WATCH_WAIT_S, max(MIN_WATCH_WAIT_S, wait_s))

    @property
    def active_valid_s(self) -> float:
        """Time for which a runner counts as active after its last report."""
        return self.interval_s + ACTIVE_MARGIN_S

    @property
    def host_valid_s(self) -> float:
        """Time for which the counts that a host reported are valid."""
        return self.interval_s + HOST_MARGIN_S
