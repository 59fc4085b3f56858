"""Counters and latency histograms of the forwarding core, in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterable

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from croftchute.forwarding.http.transfer import Transfer

SECONDS_BUCKETS = [0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.9, 1.5, 3.0, 6.0, 14.0]


def replace_values(gauge: Gauge, values: Iterable[tuple[dict[str, str], float]]) -> None:
    """Set a gauge to some values by labels; series that are not among them end.

    >>> gauge = Gauge("g", "some gauge", registry=Registry())
    >>> replace_values(gauge, [({"rank": "0"}, 1.0), ({"rank": "1"}, 2.0)])
    >>> replace_values(gauge, [({"rank": "1"}, 3.0)])
    >>> gauge.get_all()
    [({'rank': '1'}, 3.0)]
    """
    gauge.values.clear()
    for labels, value in values:
        gauge.set(labels, value)


class TrafficMetrics:
    """What operators watch: outcomes by route, times, decisions by kind, calls of the store."""

    def __init__(self) -> None:
        self.registry = Registry()
        own = {"registry": self.registry}
        self.requests = Counter("croftchute_requests_total", "Requests by route and outcome", **own)
        self.decisions = Counter("croftchute_decisions_total", "Log lines by kind", **own)
        self.sends = Counter("croftchute_sends_total", "Sends to workers by outcome", **own)
        self.silences = Counter(
            "croftchute_worker_silences_total",
            "Requests whose workers fell silent, by how they went on",
            **own,
        )
        self.wishes = Counter(
            "croftchute_worker_wishes_total",
            "Answers that said anew what their worker wants (leaving, rest, limit), by call",
            **own,
        )
        self.limits = Counter(
            "croftchute_limit_refusals_total", "Requests refused by limits, by outcome", **own
        )
        self.permits = Counter(
            "croftchute_permit_refusals_total",
            "Calls of workers that name a limit that were not permitted, by outcome",
            **own,
        )
        self.slow_callers = Counter(
            "croftchute_slow_callers_ended_total",
            "Answers ended as all held bytes exceeded the bound and theirs were the most",
            **own,
        )
        self.held_bytes = Gauge(
            "croftchute_held_bytes", "Bytes held for callers that have not read them", **own
        )
        self.client_bytes = Gauge(
            "croftchute_client_bytes", "Bytes held for the clients of all addresses", **own
        )
        self.clients_released = Counter(
            "croftchute_clients_released_total",
            "Clients that were refused or closed for the memory of others, by cause",
            **own,
        )
        self.connections_paced = Counter(
            "croftchute_connections_paced_total",
            "Times that a connection began to be paced for its small pieces",
            **own,
        )
        self.store_calls = Counter("croftchute_store_calls_total", "Store calls by outcome", **own)
        self.transfer_bytes = Counter(
            "croftchute_transfer_bytes_total",
            "Bytes of bodies from the store and from peers, by call and outcome",
            **own,
        )
        self.transfer_seconds = Histogram(
            "croftchute_transfer_seconds",
            "Time from the head of an answer of the store or a peer to its end, by call",
            buckets=SECONDS_BUCKETS,
            **own,
        )
        self.room_refusals = Counter(
            "croftchute_room_refusals_total",
            "Ordered streams refused for lack of room, by service, rank and cause",
            **own,
        )
        self.over_share = Counter(
            "croftchute_over_share_total",
            "Ordered streams whose organisation was over its share, by service",
            **own,
        )
        self.room_waiting = Gauge(
            "croftchute_room_waiting",
            "Streams of this box that wait for a hold, by service and room rank",
            **own,
        )
        self.room_wait = Gauge(
            "croftchute_room_mean_wait_seconds",
            "Mean wait for a hold as this box knows it, by service and room rank",
            **own,
        )
        self.worker_pace = Gauge(
            "croftchute_worker_pace",
            "Time that work takes over the usual, by worker, for 64 workers at most",
            **own,
        )
        self.open = Gauge("croftchute_open_requests", "Requests that are open", **own)
        self.connections_shed = Counter(
            "croftchute_connections_shed_total",
            "Connections of callers that were closed unread, by cause",
            **own,
        )
        self.loop_delay = Gauge(
            "croftchute_loop_delay_seconds",
            "Longest delay of the event loop in the last second",
            **own,
        )
        self.links_lost = Gauge(
            "croftchute_worker_links_lost", "1 while this box reaches no worker, else 0", **own
        )
        self.forwards = Counter(
            "croftchute_forwards_total",
            "Requests passed to other boxes as this one reaches no worker, by outcome",
            **own,
        )
        self.forwards_received = Counter(
            "croftchute_forwards_received_total",
            "Requests that other boxes passed to this one, by outcome",
            **own,
        )
        self.resumed = Counter(
            "croftchute_resumed_streams_total",
            "Streams taken up by callers, by how it is known which software version began them",
            **own,
        )
        self.refused_parts = Gauge(
            "croftchute_refused_parts",
            "Parts of prompts, or sets of parts, whose requests are refused as they crash workers",
            **own,
        )
        self.request_trials = Counter(
            "croftchute_request_trials_total",
            "Refused requests that were to be tried, by outcome of the claim",
            **own,
        )
        self.part_trials = Counter(
            "croftchute_part_trials_total",
            "Requests with refused parts that were to be tried, by outcome of the claim",
            **own,
        )
        self.limited_workers = Gauge(
            "croftchute_limited_workers", "Workers that name a limit for all boxes", **own
        )
        self.store_era = Gauge("croftchute_store_era", "Era of the store that is known", **own)
        self.config_version = Gauge("croftchute_config_version", "Version in force", **own)
        self.first_byte = Histogram(
            "croftchute_first_byte_seconds",
            "Time from the whole request to the first byte of its answer, by route",
            buckets=SECONDS_BUCKETS,
            **own,
        )
        self.whole = Histogram(
            "croftchute_answer_seconds",
            "Time from the whole request to the end of its answer, by route",
            buckets=SECONDS_BUCKETS,
            **own,
        )

    def observe_transfer(self, transfer: Transfer) -> None:
        """Count a call of the store or of a peer, and what it brought."""
        labels = {"call": transfer.call, "outcome": transfer.outcome}
        if transfer.source == "store":
            self.store_calls.inc(labels)
        if transfer.size:
            self.transfer_bytes.add(labels, transfer.size)
            self.transfer_seconds.observe({"call": transfer.call}, transfer.seconds)

    def text(self) -> bytes:
        """All metrics as text."""
        content, _ = render(self.registry, [])
        return bytes(content)
