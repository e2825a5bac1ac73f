"""Prometheus metrics of a node."""

from jacinthmount.answer_memory import AnswerMemory
from jacinthmount.caller_memory import CallerMemory, HoldState
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

__all__ = ('NO_ACCOUNT', 'Metrics')

# Account label of requests without a valid key.
NO_ACCOUNT = '-'

LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.41,
    0.6,
    1,
    2.5,
    5,
    10,
    30,
    60,
)
TOKEN_GAP_BUCKETS_S = (
    0.001,
    0.005,
    0.01,
    0.02,
    0.03,
    0.041,
    0.06,
    0.1,
    0.25,
    0.5,
    1,
    5,
)


class Metrics:
    """All metrics of one node, in a separate registry."""

    __slots__ = (
        '_registry',
        'batch_items',
        'batch_preempted',
        'blocked_parts',
        'blocked_requests',
        'caller_evictions',
        'crash_suspects',
        'answer_bytes',
        'answer_limit_bytes',
        'endless_answers',
        'first_token_s',
        'orders',
        'peer_bytes',
        'platform_calls',
        'evacuated',
        'queued',
        'refusals',
        'relayed_requests',
        'request_s',
        'resumed_streams',
        'retries',
        'table_revision',
        'token_gap_s',
    )

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self._registry = registry
        self.request_s = Histogram(
            'jacinthmount_request_seconds',
            'Time to the whole answer.',
            ['account', 'lane'],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.first_token_s = Histogram(
            'jacinthmount_first_token_seconds',
            'Time to the first token.',
            ['account', 'lane'],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.token_gap_s = Histogram(
            'jacinthmount_token_gap_seconds',
            'Time between tokens.',
            ['lane'],
            buckets=TOKEN_GAP_BUCKETS_S,
            registry=registry,
        )
        self.refusals = Counter(
            'jacinthmount_refusals',
            'Errors answered, by code.',
            ['account', 'code'],
            registry=registry,
        )
        self.retries = Counter(
            'jacinthmount_retries',
            'Repeated attempts.',
            ['service'],
            registry=registry,
        )
        self.batch_items = Counter(
            'jacinthmount_batch_items',
            'Batch items ended.',
            ['account', 'state'],
            registry=registry,
        )
        self.batch_preempted = Counter(
            'jacinthmount_batch_preempted',
            'Batch streams cancelled.',
            ['service'],
            registry=registry,
        )
        self.answer_bytes = Gauge(
            'jacinthmount_answer_bytes',
            'Bytes of all unfinished answers.',
            registry=registry,
        )
        self.answer_limit_bytes = Gauge(
            'jacinthmount_answer_limit_bytes',
            'Bytes that all unfinished answers may have together.',
            registry=registry,
        )
        self.endless_answers = Counter(
            'jacinthmount_endless_answers',
            'Answers of endpoints broken off, by what there was too much of.',
            ['kind'],
            registry=registry,
        )
        self.orders = Counter(
            'jacinthmount_orders',
            'Orders to engines, by outcome.',
            ['outcome'],
            registry=registry,
        )
        self.queued = Gauge(
            'jacinthmount_queued',
            'Online requests that wait.',
            ['service'],
            registry=registry,
        )
        self.platform_calls = Counter(
            'jacinthmount_platform_calls',
            'Calls to the object API.',
            ['call'],
            registry=registry,
        )
        self.peer_bytes = Counter(
            'jacinthmount_peer_bytes',
            'Bytes on peer streams.',
            ['direction'],
            registry=registry,
        )
        self.evacuated = Gauge(
            'jacinthmount_evacuated_data_centres',
            'Data centres whose endpoints get no requests.',
            registry=registry,
        )
        self.blocked_parts = Gauge(
            'jacinthmount_blocked_prompt_parts',
            'Records of prompt parts on which endpoints crashed.',
            registry=registry,
        )
        self.blocked_requests = Gauge(
            'jacinthmount_blocked_requests',
            'Records of requests on which endpoints crashed.',
            registry=registry,
        )
        self.crash_suspects = Counter(
            'jacinthmount_crash_suspects',
            'Strikes against requests after crashes of endpoints.',
            registry=registry,
        )
        self.relayed_requests = Counter(
            'jacinthmount_relayed_requests',
            'Requests sent through other hosts, as no endpoint was reached.',
            ['outcome'],
            registry=registry,
        )
        self.resumed_streams = Counter(
            'jacinthmount_resumed_streams',
            'Streams that callers take up, by what became of them.',
            ['outcome'],
            registry=registry,
        )
        self.caller_evictions = Counter(
            'jacinthmount_caller_evictions',
            'Connections ended to make room for others, by what they did.',
            ['state'],
            registry=registry,
        )
        self.table_revision = Gauge(
            'jacinthmount_config_revision',
            'Newest configuration held.',
            registry=registry,
        )

    def show_answer_memory(self, memory: AnswerMemory) -> None:
        """Shows the memory budget of the answers of this process."""
        self.answer_bytes.set_function(lambda: memory.total)
        self.answer_limit_bytes.set(memory.limit_bytes)

    def show_caller_memory(self, memory: CallerMemory) -> None:
        """Shows the memory budget of the callers of this process."""
        registry = self._registry
        Gauge(
            'jacinthmount_caller_bytes',
            'Bytes that callers make this process keep.',
            registry=registry,
        ).set_function(lambda: memory.total_bytes)
        Gauge(
            'jacinthmount_caller_limit_bytes',
            'Limit on the bytes that callers make this process keep.',
            registry=registry,
        ).set(memory.limit_bytes)
        Gauge(
            'jacinthmount_caller_connections',
            'Open connections of callers.',
            registry=registry,
        ).set_function(lambda: memory.connections)

    def count_eviction(self, state: HoldState) -> None:
        """Counts a connection that was ended to make room for others."""
        self.caller_evictions.labels(state.value).inc()

    def render(self) -> bytes:
        """Renders all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
