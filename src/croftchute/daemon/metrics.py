"""Metrics of one box, for the admin port."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram, Registry, render

TTFT_BUCKETS = [0.05, 0.1, 0.2, 0.3, 0.44, 0.6, 1.0, 2.0, 5.0]
PER_TOKEN_BUCKETS = [0.005, 0.01, 0.02, 0.025, 0.031, 0.04, 0.06, 0.1, 0.25]


class Metrics:
    """Counters and histograms; the default targets are bucket edges."""

    def __init__(self) -> None:
        self.registry = Registry()
        own = {"registry": self.registry}
        self.requests = Counter("croftchute_requests_total", "Completions by outcome", **own)
        self.tokens = Counter("croftchute_tokens_total", "Output tokens passed on", **own)
        self.events = Counter("croftchute_events_total", "Time line events by kind", **own)
        self.open = Gauge("croftchute_open_requests", "Requests that are open", **own)
        self.clients_released = Counter(
            "croftchute_clients_released_total",
            "Clients refused or closed for memory, descriptors or a limit, by cause",
            **own,
        )
        self.client_bytes = Gauge("croftchute_client_bytes", "Bytes held for clients", **own)
        self.peer_bytes = Gauge("croftchute_peer_bytes", "Bytes sent to peers", **own)
        self.ttft = Histogram(
            "croftchute_ttft_seconds", "Time to first token", buckets=TTFT_BUCKETS, **own
        )
        self.per_token = Histogram(
            "croftchute_per_token_seconds", "Time per token", buckets=PER_TOKEN_BUCKETS, **own
        )

    def text(self) -> bytes:
        """All metrics in the Prometheus text format."""
        content, _ = render(self.registry, [])
        return bytes(content)
