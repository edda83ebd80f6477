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
        self._resumed_streams = self._counter(
            "resumed_streams",
            "Streams that callers take up again: known, unknown if it isn't"
            " known which software version began them, gone if no endpoint of"
            " it is left",
            ["version"],
        )
        self._stage_graphs = self._counter(
            "stage_graphs",
            "Stage graphs started, held back or refused by the coordinator",
            ["priority", "decision"],
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
        self._cold_waits = self._counter(
            "cold_endpoint_waits",
            "Times that a request waited or was refused for cold endpoints",
            [],
        )
        self._region_refusals = self._counter(
            "region_refusals",
            "Requests without an endpoint in their allowed regions",
            [],
        )
        self._dropped_lines = self._counter(
            "log_lines_left_out", "Log lines beyond the bound", ["event"]
        )
        self._memory = self._gauge(
            "memory_bytes",
            "Private memory, bytes kept of replies, and those of them that"
            " callers haven't read",
            ["of"],
        )
        self._slow_callers = self._counter(
            "slow_callers",
            "Answers whose reply was left unread or that were ended because"
            " their callers read too slowly",
            ["event"],
        )

        self._evacuated = self._gauge(
            "evacuated_data_centres",
            "Data centres that get no new work as operators ask for it",
            [],
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

    def count_stage_graph(self, priority: int, decision: str) -> None:
        """Counts a graph that was "started", "held back" or "refused".

        One that was held back is counted again when it starts or is refused.
        """
        self._stage_graphs.labels(priority, decision).inc()

    def count_resumed_stream(self, version: str) -> None:
        """Counts a stream whose version is "known", "unknown" or "gone"."""
        self._resumed_streams.labels(version).inc()

    def observe_cost_ratio(self, route: str, ratio: float) -> None:
        """Records the error of an estimate of an answer's cost."""
        self._cost_ratios.labels(route).observe(ratio)

    def count_prompt_block(self) -> None:
        """Counts a block of prompts that became known to this host."""
        self._prompt_blocks.inc()

    def count_avoidance(self) -> None:
        """Counts that an endpoint is avoided on this host."""
        self._avoidances.inc()

    def count_cold_wait(self) -> None:
        """Counts that a request found all endpoints closed, some as cold."""
        self._cold_waits.inc()

    def count_region_refusal(self) -> None:
        """Counts a request without an endpoint in its allowed regions."""
        self._region_refusals.inc()

    def count_slow_caller(self, event: str) -> None:
        """Counts an answer that was "left unread" or "ended"."""
        self._slow_callers.labels(event).inc()

    def set_memory(
        self, private_bytes: int, reply_bytes: int, unread_bytes: int
    ) -> None:
        """Sets the memory of the process and parts of it.

        Args:
            private_bytes: private memory of the process.
            reply_bytes: kept of replies, with unread answers.
            unread_bytes: of answers that callers haven't read.
        """
        self._memory.labels("process").set(private_bytes)
        self._memory.labels("replies").set(reply_bytes)
        self._memory.labels("unread").set(unread_bytes)

    def set_evacuated_data_centres(self, count: int) -> None:
        """Sets the number of evacuated data centres."""
        self._evacuated.set(count)

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
