"""Settings of a relay process, read at its start."""

from jacinthmount.records import Record

__all__ = ('RelaySettings',)


class RelaySettings(Record):
    """Settings of one relay process.

    Addresses are ``IP:port``; an empty address is not served.
    ``seeds`` are peer addresses that are known before the store is available.
    ``stop_s`` is how many seconds after SIGTERM the process may still run.
    ``rate_slack`` is how many requests of an account are tolerated beyond its
    rate and burst, over all hosts and in any ``rate_window_s`` seconds; 0
    disables admission on credit.
    ``memory_mb`` is the memory that the process may use, in MB; 0 if only the
    system knows. ``max_descriptors`` are those that it may open, likewise.
    ``config_object`` is the store object of the operator's configuration,
    ``endpoint_prefix`` the prefix of the endpoint registrations, and
    ``evacuation_prefix`` that of the objects named by evacuated data centres.
    """

    __slots__ = (
        'host',
        'data_centre',
        'ip',
        'front_listen',
        'ready_listen',
        'peer_listen',
        'metrics_listen',
        'seeds',
        'platform',
        'runs_batches',
        'stop_s',
        'memory_mb',
        'max_descriptors',
        'rate_slack',
        'rate_window_s',
        'config_object',
        'endpoint_prefix',
        'evacuation_prefix',
    )

    host: str
    data_centre: str
    ip: str
    front_listen: str
    ready_listen: str
    peer_listen: str
    metrics_listen: str
    seeds: list[str]
    platform: str
    runs_batches: bool
    stop_s: float
    memory_mb: int
    max_descriptors: int
    rate_slack: float
    rate_window_s: float
    config_object: str
    endpoint_prefix: str
    evacuation_prefix: str
