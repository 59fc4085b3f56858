"""Requests that boxes without links to workers pass to this one, on its control port.

They are served like those of callers, but never passed on again. Each answer is marked, so that the
sender can distinguish it from a declined request, which alone may be sent to another box.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus

from croftchute.forwarding.boxes.forward_terms import (
    ANSWERED,
    DECLINED,
    FORWARD,
    DeclineReason,
    ForwardTerms,
    read_terms,
    without_terms,
)
from croftchute.forwarding.callers.forwarder import Forwarder
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.http.exchange import Exchange
from croftchute.forwarding.state import ForwardingState

MIN_OPEN = 64
"""Requests of other boxes that a box may serve at a time, however few it has of its own."""

MAX_PER_OWN = 4
"""Most requests of other boxes for each of its own, so that a few boxes that are left when most are
cut off are not flooded."""


class ForwardedRequests:
    """Serves or declines requests from other boxes; ``own_open`` counts those of own callers."""

    def __init__(
        self, *, state: ForwardingState, forwarder: Forwarder, own_open: Callable[[], int]
    ) -> None:
        self.state = state
        self.forwarder = forwarder
        self.own_open = own_open
        self.open = 0

    async def handle(self, exchange: Exchange) -> bool:
        """Serve or decline a request; False if no other box passed it."""
        terms = read_terms(exchange.request)
        if terms is None:
            return False
        reason = self._reason_to_decline(terms)
        if reason is not None:
            self._decline(exchange, terms, reason)
            return True
        headers = without_terms(exchange.request.headers)
        exchange.request = replace(exchange.request, headers=headers)
        exchange.added_headers = [(FORWARD, ANSWERED)]
        self.open += 1
        try:
            is_served = await self.forwarder.handle_forwarded(exchange, terms)
        finally:
            self.open -= 1
        if is_served:
            self.state.metrics.forwards_received.inc({"outcome": "served"})
        else:
            self._decline(exchange, terms, DeclineReason.CUT_OFF)
        return True

    def _reason_to_decline(self, terms: ForwardTerms) -> DeclineReason | None:
        state = self.state
        if state.is_stopping:
            return DeclineReason.STOPPING
        if state.links.are_lost:
            return DeclineReason.CUT_OFF
        if state.table is None or state.table.version < terms.config_version:
            return DeclineReason.OLDER_CONFIG
        if self.open >= max(MIN_OPEN, MAX_PER_OWN * self.own_open()):
            return DeclineReason.BUSY
        return None

    def _decline(self, exchange: Exchange, terms: ForwardTerms, reason: DeclineReason) -> None:
        exchange.added_headers = [(FORWARD, DECLINED)]
        exchange.send(HTTPStatus.SERVICE_UNAVAILABLE, [], reason.value.encode())
        self.state.metrics.forwards_received.inc({"outcome": reason.value})
        self.state.log.decide(
            Decision.FORWARD_DECLINED,
            outcome=reason.value,
            source=terms.box,
            open=self.open,
            config_version=self.state.table.version if self.state.table else 0,
            wanted_version=terms.config_version,
        )
