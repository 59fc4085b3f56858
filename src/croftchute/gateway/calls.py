"""Calls to plain services: repeatable ones are retried, the others run at most once."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from croftchute.commands import Command, DecideCall
from croftchute.config.documents import CallSpec, Document, ServiceSpec, UpstreamState
from croftchute.errors import Code, Ran, RequestError, UpstreamError
from croftchute.gateway.call_race import CallRace
from croftchute.gateway.exchange import Exchange
from croftchute.ids import minted_at
from croftchute.peers.messages import Finish
from croftchute.steady_clock import steady_s
from croftchute.systems.dedupe import MAX_STORED_ANSWER_BYTES
from croftchute.systems.worker_advice import WorkerAdviceTable
from croftchute.tables.dedupe import Decision, Phase
from croftchute.upstreams.call_ender import CallEnder
from croftchute.upstreams.service import Service, ServiceAnswer, ServiceCall

VERDICT_WAIT_S = 5.0
MARK_WAIT_S = 1.0
MAX_TRIES = 3
RAN_BY_CODE = {
    Code.KEY_INVALID: Ran.NOT_RUN,
    Code.ALREADY_ANSWERED: Ran.RAN,
    Code.IN_PROGRESS: Ran.UNKNOWN,
    Code.OUTCOME_UNKNOWN: Ran.UNKNOWN,
}

Job = Callable[[float], list[Command]]
BeginCall = Callable[[str, str, float | None, float], list[Command]]
FinishCall = Callable[[Finish, float], list[Command]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A call that the configuration knows, with the workers of this hall that may take it."""

    service: ServiceSpec
    call: CallSpec
    path: str
    urls: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class CallRequest:
    """One call of a caller; ``own_key`` is true where the box made the key itself."""

    route: Route
    body: bytes
    content_type: str
    token: str
    key: str
    own_key: bool


def find_route(document: Document, hall: str, method: str, path: str) -> Route | None:
    """The configured call for a method and path; None if there is none."""
    for service in document.services:
        if not path.startswith(service.prefix + "/"):
            continue
        rest = path[len(service.prefix) :]
        for call in service.calls:
            if (call.method, call.path) == (method, rest):
                return Route(service=service, call=call, path=rest, urls=_urls(service, hall))
    return None


class CallDesk:
    """Makes the calls of one box to plain services."""

    def __init__(
        self,
        *,
        service: Service,
        submit: Callable[[Job], None],
        begin: BeginCall,
        finish: FinishCall,
        now: Callable[[], float] = steady_s,
    ) -> None:
        self._service = service
        self._submit = submit
        self._begin = begin
        self._finish = finish
        self._now = now
        self._turn = 0
        self._advice = WorkerAdviceTable()
        self._advice_lock = threading.Lock()

    def call(
        self, request: CallRequest, exchange: Exchange, has_left: Callable[[], bool]
    ) -> ServiceAnswer:
        """Make a call; raises :class:`UpstreamError` saying whether it ran.

        ``has_left`` tells whether the caller has hung up: then the answer stays stored for it.
        """
        if not request.route.urls:
            message = f"{request.route.service.id} has no worker in this hall"
            raise UpstreamError(Code.NO_UPSTREAM, message, ran=Ran.NOT_RUN, retry_after=1.0)
        rest_s = min(self._rest_left_s(url) for url in request.route.urls)
        if rest_s > 0.0:
            message = f"all workers of {request.route.service.id} asked for rest"
            raise UpstreamError(Code.NO_UPSTREAM, message, ran=Ran.NOT_RUN, retry_after=rest_s)
        if request.route.call.repeatable:
            return self._repeat(request)
        answer = self._once(request, exchange)
        if not has_left():
            self._mark_delivered(request, exchange)
        return answer

    def _mark_delivered(self, request: CallRequest, exchange: Exchange) -> None:
        """Have the pair note that the answer goes out, before its first byte is written.

        Marked afterwards, a caller that had it and asked another box at once got it again. If the
        pair cannot be reached the answer goes out all the same: its caller is waiting here.
        """
        self._tell(request, Phase.DELIVERED)
        while (noted := exchange.wait(MARK_WAIT_S)) is not None:
            if isinstance(noted, DecideCall) and noted.code == Phase.DELIVERED:
                return

    def _repeat(self, request: CallRequest) -> ServiceAnswer:
        urls = self._order(request.route)[:MAX_TRIES]
        if not urls:
            # The last workers came to rest since the call was let in.
            message = f"all workers of {request.route.service.id} asked for rest"
            raise UpstreamError(Code.NO_UPSTREAM, message, ran=Ran.NOT_RUN, retry_after=1.0)

        def make_call(url: str, timeout_s: float, ender: CallEnder) -> ServiceAnswer:
            return self._call(request, url, timeout_s, ender)

        timeout_s = request.route.service.timeout_s
        return CallRace(urls=urls, timeout_s=timeout_s, make_call=make_call).answer()

    def _once(self, request: CallRequest, exchange: Exchange) -> ServiceAnswer:
        minted = None if request.own_key else minted_at(request.key)
        key, token = request.key, request.token
        self._submit(lambda now: self._begin(key, token, minted, now))
        decision = exchange.wait(VERDICT_WAIT_S)
        if not isinstance(decision, DecideCall):
            # Without a verdict this box never makes the call.
            raise _refusal(request, Code.DEDUPE_UNAVAILABLE)
        if decision.decision == Decision.STORED:
            return ServiceAnswer(
                status=decision.status, body=decision.answer, content_type="application/json"
            )
        if decision.decision != Decision.RUN:
            raise _refusal(request, Code(decision.code))
        return self._run(request)

    def _run(self, request: CallRequest) -> ServiceAnswer:
        for url in self._order(request.route)[:MAX_TRIES]:
            try:
                answer = self._call(request, url, request.route.service.timeout_s, CallEnder())
            except UpstreamError as error:
                if error.ran is Ran.NOT_RUN:
                    continue
                self._tell(request, Phase.UNKNOWN)
                raise
            self._tell(request, Phase.DONE, answer)
            return answer
        self._tell(request, Phase.ABANDONED)
        message = f"no worker of {request.route.service.id} could be reached"
        raise UpstreamError(Code.NO_UPSTREAM, message, ran=Ran.NOT_RUN, retry_after=1.0)

    def _tell(
        self, request: CallRequest, phase: Phase, answer: ServiceAnswer | None = None
    ) -> None:
        body = answer.body if answer is not None else b""
        if len(body) > MAX_STORED_ANSWER_BYTES:
            body, phase = b"", Phase.DELIVERED
        finish = Finish(
            key=request.key,
            token=request.token,
            epoch=0,
            phase=phase,
            answer=body,
            status=answer.status if answer is not None else 0,
        )
        self._submit(lambda now: self._finish(finish, now))

    def _call(
        self, request: CallRequest, url: str, timeout_s: float, ender: CallEnder
    ) -> ServiceAnswer:
        """Make one call, and keep for how long its worker wants no other."""
        answer = self._service.call(_service_call(request, url, timeout_s, ender))
        if answer.rest_s > 0.0:
            with self._advice_lock:
                self._advice.note_backoff(url, answer.rest_s, self._now())
        return answer

    def _rest_left_s(self, url: str) -> float:
        with self._advice_lock:
            return self._advice.backoff_left_s(url, self._now())

    def _order(self, route: Route) -> tuple[str, ...]:
        """The workers in turn, without those that rest."""
        urls = tuple(url for url in route.urls if self._rest_left_s(url) <= 0.0)
        if not urls:
            return ()
        self._turn += 1
        start = self._turn % len(urls)
        return urls[start:] + urls[:start]


def _refusal(request: CallRequest, code: Code) -> UpstreamError:
    ran = RAN_BY_CODE.get(code)
    if ran is None:
        # Another try with a caller's key may have run or be running; with an own key none can.
        ran = Ran.NOT_RUN if request.own_key else Ran.UNKNOWN
    return UpstreamError(code, f"call {request.key}: {code.value}", ran=ran, retry_after=1.0)


def _service_call(
    request: CallRequest, url: str, timeout_s: float, ender: CallEnder
) -> ServiceCall:
    route = request.route
    return ServiceCall(
        url=url,
        method=route.call.method,
        path=route.path,
        body=request.body,
        request_id=request.key,
        content_type=request.content_type,
        timeout_s=timeout_s,
        ender=ender,
    )


def _urls(service: ServiceSpec, hall: str) -> tuple[str, ...]:
    return tuple(
        worker.url
        for worker in service.workers
        if worker.hall == hall and worker.state is UpstreamState.SERVING
    )


def require_key(call: CallSpec, key: str, fresh: Callable[[], str]) -> tuple[str, bool]:
    """The key of a call, and whether the box made it; raises for one that is no UUIDv7."""
    if not key:
        return fresh(), True
    if not call.repeatable:
        minted_at(key)
    return key, False


def unknown_path(method: str, path: str) -> RequestError:
    """The error for a path that nothing is configured for."""
    return RequestError(Code.PATH_UNKNOWN, f"nothing is configured for {method} {path[:120]}")
