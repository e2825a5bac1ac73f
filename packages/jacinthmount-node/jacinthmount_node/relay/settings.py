"""What a process of the relay is told at its start."""

from jacinthmount.records import Record

__all__ = ('RelaySettings',)


class RelaySettings(Record):
    """Addresses are ``IP:port``; an empty one is not served.

    ``seeds`` are peer addresses known before the store is reached.
    ``stop_s`` is how long after SIGTERM the process may still run.
    ``rate_slack`` counts the requests of an account that are tolerated beyond
    its rate and burst over all hosts, in any ``rate_window_s``; 0 keeps hosts
    from admitting on credit.
    ``config_object`` and ``endpoint_prefix`` name objects of the operator and
    of the endpoints in the store.
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
        'rate_slack',
        'rate_window_s',
        'config_object',
        'endpoint_prefix',
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
    rate_slack: float
    rate_window_s: float
    config_object: str
    endpoint_prefix: str
