"""The gateway's counters and latency histograms, in Prometheus format."""

import prometheus_client

# Further accounts share the label "other", which bounds the number of series.
MAX_ACCOUNTS = 100
_OTHER = "other"
# Upper bounds in seconds, denser from 0.1 to 2 s where the objectives of routes
# lie.
_LATENCY_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 8, 15)
_RATIO_BUCKETS = (0.1, 0.25, 0.5, 0.75, 1, 1.33, 2, 4, 10)
_BATCH_BUCKETS = (1, 2, 4, 8, 15, 30, 60)


class Telemetry:
    """The metrics of one gateway process."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._accounts: set[str] = set()
        self._requests = self._counter(
            "requests", "Requests ended", ["account", "route", "outcome"]
        )
        self._latency = self._histogram(
            "request_seconds",
            "Time to the whole answer, or to the first event of a stream",
            ["account", "route"],
        )
        self._stage_calls = self._histogram(
            "stage_call_seconds", "Time of calls for pieces", ["pool"]
        )
        self._batch_sizes = self._histogram(
            "stage_call_pieces", "Pieces a call", ["pool"], _BATCH_BUCKETS
        )
        self._cost_ratios = self._histogram(
            "answer_cost_ratio",
            "Time to generate an answer, as a multiple of its estimate",
            ["route"],
            _RATIO_BUCKETS,
        )
        self._prompt_blocks = self._counter(
            "prompt_blocks", "Blocks of prompts that crash engines", []
        )
        self._avoidances = self._counter(
            "avoidances",
            "Times that an endpoint was avoided after a reply without end",
            [],
        )
        self._dropped_lines = self._counter(
            "log_lines_left_out", "Log lines beyond the bound", ["event"]
        )
        self._memory = self._gauge(
            "memory_bytes", "Private memory, and bytes kept of replies", ["of"]
        )

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def count_request(self, account: str, route: str, outcome: str) -> None:
        """Counts a request that ended."""
        labels = (self._account_label(account), route, outcome)
        self._requests.labels(*labels).inc()

    def observe_latency(self, account: str, route: str, seconds: float) -> None:
        """Records the latency of a request's answer."""
        label = self._account_label(account)
        self._latency.labels(label, route).observe(seconds)

    def observe_stage_call(self, pool: str, seconds: float) -> None:
        """Records the duration of a stage call."""
        self._stage_calls.labels(pool).observe(seconds)

    def observe_batch_size(self, pool: str, count: int) -> None:
        """Records the number of pieces in a stage call."""
        self._batch_sizes.labels(pool).observe(count)

    def observe_cost_ratio(self, route: str, ratio: float) -> None:
        """Records the error of an estimate of an answer's cost."""
        self._cost_ratios.labels(route).observe(ratio)

    def count_prompt_block(self) -> None:
        """Counts a block of prompts that became known to this host."""
        self._prompt_blocks.inc()

    def count_avoidance(self) -> None:
        """Counts that an endpoint is avoided on this host."""
        self._avoidances.inc()

    def set_memory(self, private_bytes: int, reply_bytes: int) -> None:
        """Sets the memory of the process and the bytes kept of replies."""
        self._memory.labels("process").set(private_bytes)
        self._memory.labels("replies").set(reply_bytes)

    def count_dropped_lines(self, event: str, lines: int) -> None:
        """Counts log lines that were dropped."""
        self._dropped_lines.labels(event).inc(lines)

    def _account_label(self, account: str) -> str:
        if account not in self._accounts:
            if len(self._accounts) >= MAX_ACCOUNTS:
                return _OTHER
            self._accounts.add(account)
        return account

    def _counter(self, name: str, text: str, labels: list[str]):
        return prometheus_client.Counter(
            f"chervilarch_{name}", text, labels, registry=self.registry
        )

    def _gauge(self, name: str, text: str, labels: list[str]):
        return prometheus_client.Gauge(
            f"chervilarch_{name}", text, labels, registry=self.registry
        )

    def _histogram(
        self, name: str, text: str, labels: list[str], buckets=_LATENCY_BUCKETS
    ):
        return prometheus_client.Histogram(
            f"chervilarch_{name}",
            text,
            labels,
            buckets=buckets,
            registry=self.registry,
        )
