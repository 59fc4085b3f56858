"""The handler of callers' requests.

It reads the request, finds its route, organisation and service, and applies the organisation's
usage limit. Plain and streaming requests are then served by their own modules.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from croftchute.errors import Code, Ran, RequestError
from croftchute.forwarding.boxes.forward_terms import ForwardTerms
from croftchute.forwarding.boxes.limits import Allowance, AllowanceOutcome, UsageLimits
from croftchute.forwarding.boxes.peer_forwarding import PeerForwarding
from croftchute.forwarding.decision_log import Decision
from croftchute.forwarding.dialect import Refusal
from croftchute.forwarding.http.exchange import Arrival, Exchange
from croftchute.forwarding.http.http_server import MEMORY_RETRY_AFTER_S
from croftchute.forwarding.state import ForwardingState
from croftchute.forwarding.workers.plain_run import run_plain
from croftchute.forwarding.workers.request_run import RequestRun
from croftchute.forwarding.workers.stream_run import run_stream
from croftchute.forwarding.workers.withheld import CUT_OFF_DETAIL, Withheld
from croftchute.systems.arrival_ledger import ArrivalLedger
from croftchute.systems.failover_pace import FailoverPace
from croftchute.systems.worker_choice import pick_service
from croftchute.tables.organisations import KeyClaim, KeyState, Organisation, Organisations
from croftchute.tables.routing import Route, RouteKind

NO_CONFIG_RETRY_AFTER_S = 0.5

ASK_BOXES_AGAIN_S = 0.5
"""Seconds until other boxes are asked again to go on with what silent workers run here."""

STOPPING_RETRY_AFTER_S = 0.05
"""Seconds after which a caller of a stopping process may retry. By then the load balancer sends new
connections to other processes. The delay is short, but prevents a busy loop."""


def stopping_log_fields(
    arrival: Arrival, *, stop_began_at: float, now: float
) -> dict[str, float | int]:
    """Return log fields on how a request arrived at a box that is stopping.

    >>> arrival = Arrival(connected_at=1.0, begun_at=7.0, read_at=7.25, number=3)
    >>> stopping_log_fields(arrival, stop_began_at=4.0, now=8.0)["queued_ms"]
    750
    """
    return {
        "stopping_for_s": round(now - stop_began_at, 3),
        "connected_for_s": round(now - arrival.connected_at, 3),
        "number_on_connection": arrival.number,
        "reading_ms": round((arrival.read_at - arrival.begun_at) * 1000),
        "queued_ms": round((now - arrival.read_at) * 1000),
    }


def identify_organisation(
    organisations: Organisations | None, key: KeyClaim, route: Route
) -> Organisation | None:
    """Return the organisation that a request belongs to, or None if the request needs none.

    Raise :class:`croftchute.errors.RequestError` if the route needs an organisation's key and the
    request has none. An unknown key is refused on every route.
    """
    if organisations is None:
        return None
    found = organisations.holder(key)
    if found is not None or (route.allows_anonymous and key.state is KeyState.ABSENT):
        return found
    shown = f" {key.fingerprint}" if key.fingerprint else ""
    raise RequestError(
        Code.CALLER_UNKNOWN, f"key{shown}: {key.state.value}, held by no organisation"
    )


def _passed_ledger(terms: ForwardTerms) -> ArrivalLedger:
    calls = terms.prior_calls()
    return ArrivalLedger.of_passed(arrivals=calls.arrivals, is_prompt_read=calls.is_prompt_read)


class Forwarder:
    """Handles callers' exchanges, many of them concurrently.

    ``settle_links`` waits until it is known whether the links to all workers are lost.
    """

    def __init__(
        self,
        *,
        state: ForwardingState,
        usage_limits: UsageLimits,
        settle_links: Callable[[], Awaitable[None]],
    ) -> None:
        self.state = state
        self.usage_limits = usage_limits
        self.settle_links = settle_links
        self.peers = PeerForwarding(state=state)

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request, here or at another box, or refuse it."""
        run = self._begin(exchange)
        if run is None:
            return
        try:
            await self._serve(run)
        finally:
            run.release()

    async def _serve(self, run: RequestRun) -> None:
        if self.state.links.are_lost and await self._serve_while_cut_off(run):
            return
        try:
            await self._run_within_limit(run)
            while run.withheld is not None:
                await self._serve_withheld(run, run.withheld)
        finally:
            run.close_outstanding()
            run.return_retries()

    async def _serve_withheld(self, run: RequestRun, withheld: Withheld) -> None:
        """Have another box serve a request, go on with it here if none does, or refuse it."""
        state = self.state
        await self.settle_links()
        if state.links.are_lost:
            # The box that takes the request counts it from then on.
            state.budget(run.service).retract_request(run.started_at)
            if await self._forward_unless_response(run):
                run.withheld = None
                self._give_back(run)
                return
            state.budget(run.service).note_request(run.started_at)
        run.withheld = None
        if run.outstanding is not None:
            run.ask_boxes_at = run.now + ASK_BOXES_AGAIN_S
            await run.outstanding.serve_on()
            return
        run.refuse_finally(withheld)
        if run.has_not_run:
            self._give_back(run)

    async def _forward_unless_response(self, run: RequestRun) -> bool:
        """Have another box serve a request; return False if none does, or a worker responds first.

        A box that has gone on with it by then is not left any more.
        """
        outstanding = run.outstanding
        if outstanding is None:
            return await self.peers.forward(run)
        pace = self.state.failover_pace(run.service)
        pace.begin()
        responding = asyncio.ensure_future(outstanding.until_response())
        forwarding = asyncio.ensure_future(self._forward_paced(run, pace))
        try:
            await asyncio.wait({forwarding, responding}, return_when=asyncio.FIRST_COMPLETED)
            if responding.done() and run.outstanding is not None:
                return False
            return await forwarding
        finally:
            pace.end()
            for task in (forwarding, responding):
                task.cancel()
            await asyncio.wait({forwarding, responding})

    async def _forward_paced(self, run: RequestRun, pace: FailoverPace) -> bool:
        """Have another box serve a request; the fewer take any, the fewer are passed on."""
        is_served = await self.peers.forward(run)
        if is_served:
            pace.note_answered()
        else:
            pace.note_silent(run.now)
        return is_served

    async def handle_forwarded(self, exchange: Exchange, terms: ForwardTerms) -> bool:
        """Serve a request that another box passed on; False if it has not run and may not here."""
        run = self._begin(exchange, terms)
        if run is None:
            return True
        try:
            return await self._serve_forwarded(run, terms)
        finally:
            run.release()

    async def _serve_forwarded(self, run: RequestRun, terms: ForwardTerms) -> bool:
        run.bind_origin(terms.origin)
        run.log(
            Decision.FORWARD_ACCEPTED,
            source=terms.box,
            attempts=terms.attempts,
            software=run.build or "",
        )
        window = self.state.budget(run.service)
        try:
            await self._run_within_limit(run)
        except asyncio.CancelledError:
            # The box that the caller asked counts it again.
            window.retract_request(run.started_at)
            raise
        finally:
            run.return_retries()
        if run.has_not_run:
            # The box that the caller asked has counted it, and may ask again.
            window.retract_request(run.started_at)
        return run.withheld is None

    async def _serve_while_cut_off(self, run: RequestRun) -> bool:
        """Have another box serve a request, or refuse it at once; False if it may run here.

        Connections that have lived on may still bring answers.
        """
        if self.state.can_forward and await self.peers.forward(run):
            return True
        if self.state.links.is_heard(run.now) or not self.state.links.are_lost:
            return False
        run.refuse_finally(Withheld(code=Code.NO_UPSTREAM, ran=Ran.NOT_RUN, detail=CUT_OFF_DETAIL))
        return True

    def _begin(self, exchange: Exchange, terms: ForwardTerms | None = None) -> RequestRun | None:
        """Read a request and find its route; refuse it and return None if it has none."""
        state = self.state
        started_at = state.clock()
        try:
            facts = state.callers.read(exchange.request)
        except RequestError as error:
            self._refuse(
                exchange, "", Refusal(code=error.code, ran=Ran.NOT_RUN, detail=error.message)
            )
            return None
        exchange.name(facts.id)
        if state.is_stopping:
            state.log.decide(
                Decision.TAKEN_WHILE_STOPPING,
                request_id=facts.id,
                stop=self._stopping_log_fields(exchange),
            )
        table = state.table
        if table is None:
            refusal = Refusal(
                code=Code.NO_CONFIG,
                ran=Ran.NOT_RUN,
                detail="no configuration has been loaded yet",
                retry_after_s=NO_CONFIG_RETRY_AFTER_S,
            )
            self._refuse(exchange, facts.id, refusal)
            return None
        route = table.match(facts.host, facts.path)
        if route is None:
            detail = f"no route for {facts.host}{facts.path} in version {table.version}"
            refusal = Refusal(code=Code.PATH_UNKNOWN, ran=Ran.NOT_RUN, detail=detail)
            self._refuse(exchange, facts.id, refusal)
            return None
        try:
            organisation = identify_organisation(table.organisations, facts.key, route)
        except RequestError as error:
            refusal = Refusal(code=error.code, ran=Ran.NOT_RUN, detail=error.message)
            self._refuse(exchange, facts.id, refusal)
            return None
        if organisation is not None:
            facts = replace(facts, organisation=organisation.name)
        run = RequestRun(
            state=state,
            exchange=exchange,
            facts=facts,
            organisation=organisation,
            route=route,
            service=pick_service(route, state.rng),
            started_at=started_at,
            prior_attempts=None if terms is None else terms.attempts,
            ledger=None if terms is None else _passed_ledger(terms),
        )
        if run.crashes_workers and not (run.may_be_part_trial or run.may_be_request_trial):
            # Refused at every box, before a worker receives it and before it counts against a
            # limit. Each further try would crash a worker and break up to a dozen other streams.
            run.refuse(Code.ENDS_WORKERS, Ran.NOT_RUN, "refused at arrival")
            return None
        return run

    async def _run_within_limit(self, run: RequestRun) -> None:
        """Run a request within its organisation's limit.

        One that did not run costs nothing, and one that another box serves costs nothing here.
        """
        organisation = run.organisation
        if organisation is None or organisation.limit is None:
            await self._run(run)
            return
        units = organisation.limit.cost(run.facts.declared_tokens)
        allowance = await self.usage_limits.admit(organisation, units, patience_s=run.time_left_s)
        if not allowance.is_granted:
            self._refuse_over_limit(run, allowance, units)
            return
        run.units = units
        await self._run(run)
        if run.has_not_run:
            self._give_back(run)

    def _give_back(self, run: RequestRun) -> None:
        """Return what a request was charged here, as it has not run or another box charges it."""
        units, run.units = run.units, 0.0
        if run.organisation is not None and units > 0.0:
            self.usage_limits.give_back(run.organisation.name, units)

    async def _run(self, run: RequestRun) -> None:
        if not await run.claim_trial():
            run.refuse(Code.ENDS_WORKERS, Ran.NOT_RUN, "no trial was granted")
            return
        is_taken_up = run.route.kind is RouteKind.STREAM and run.facts.resume_after is not None
        if is_taken_up and run.build is None and not await run.find_origin():
            return
        self.state.budget(run.service).note_request(run.started_at)
        if run.route.kind is RouteKind.STREAM:
            await run_stream(run)
        else:
            await run_plain(run)

    def _refuse_over_limit(self, run: RequestRun, allowance: Allowance, units: float) -> None:
        self.state.metrics.limits.inc({"outcome": allowance.outcome.value})
        run.log(
            Decision.LIMIT_DENIED,
            outcome=allowance.outcome.value,
            organisation=run.facts.organisation,
            key=run.facts.key.fingerprint,
            units=units,
            pool=allowance.pool,
            wait_s=round(allowance.wait_s, 3),
            live_share=round(allowance.live_share, 3),
        )
        if allowance.outcome is AllowanceOutcome.UNKNOWN:
            run.refuse(Code.LIMIT_UNKNOWN, Ran.NOT_RUN, f"no answer from {allowance.pool}")
        else:
            detail = f"{run.facts.organisation} has reached its usage limit"
            run.refuse(Code.OVER_LIMIT, Ran.NOT_RUN, detail, expected_wait_s=allowance.wait_s)

    async def refuse_while_stopping(self, exchange: Exchange) -> None:
        """Refuse a request that arrived after this process stopped accepting new ones."""
        refusal = Refusal(
            code=Code.DRAINING,
            ran=Ran.NOT_RUN,
            detail="this box is stopping and accepts no more requests",
            retry_after_s=STOPPING_RETRY_AFTER_S,
        )
        self._refuse(exchange, self._request_id(exchange), refusal)

    async def refuse_without_memory(self, exchange: Exchange) -> None:
        """Refuse a request whose body does not fit beside those that are being served."""
        refusal = Refusal(
            code=Code.NO_CAPACITY,
            ran=Ran.NOT_RUN,
            detail="this box has no memory left for the request",
            retry_after_s=MEMORY_RETRY_AFTER_S,
        )
        self._refuse(exchange, self._request_id(exchange), refusal)

    def _request_id(self, exchange: Exchange) -> str:
        try:
            return self.state.callers.read(exchange.request).id
        except RequestError:
            return ""

    def _stopping_log_fields(self, exchange: Exchange) -> dict[str, float | int] | None:
        stop_began_at = self.state.stop_began_at
        if stop_began_at is None:
            return None
        arrival = exchange.request.arrival
        return stopping_log_fields(arrival, stop_began_at=stop_began_at, now=self.state.clock())

    def _refuse(self, exchange: Exchange, request_id: str, refusal: Refusal) -> None:
        answer = self.state.callers.refuse(refusal, request_id)
        exchange.send(answer.status, answer.headers, answer.body)
        self.state.metrics.requests.inc({"route": "", "outcome": refusal.code.value})
        version = self.state.table.version if self.state.table else 0
        self.state.log.decide(
            Decision.REQUEST_REFUSED,
            request_id=request_id,
            outcome=refusal.code.value,
            status=answer.status,
            ran=refusal.ran.value,
            detail=refusal.detail,
            config_version=version,
            stop=self._stopping_log_fields(exchange),
        )
