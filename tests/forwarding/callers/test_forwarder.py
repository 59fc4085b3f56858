"""Requests that are left to other boxes while silent workers of this one have them."""

import asyncio
from types import SimpleNamespace

import pytest

from croftchute.errors import Code, Ran
from croftchute.forwarding.callers.forwarder import Forwarder
from croftchute.forwarding.workers.withheld import Withheld
from croftchute.systems.failover_pace import FailoverPace
from croftchute.systems.retry_budget import RetryLimits, RetryWindow


class SilentWorkers:
    def __init__(self, responds):
        self.responds = responds

    async def until_response(self):
        await self.responds.wait()


def forwarder_that(forward):
    pace = FailoverPace()
    made = Forwarder.__new__(Forwarder)
    made.state = SimpleNamespace(failover_pace=lambda service: pace)
    made.peers = SimpleNamespace(forward=forward)
    return made, pace


@pytest.mark.parametrize("is_taken", [True, False])
def test_a_box_is_left_for_a_worker_only_before_it_has_gone_on_with_the_request(is_taken):
    """Guards against a request that has neither its worker nor the box that took it."""

    async def body():
        responds = asyncio.Event()
        run = SimpleNamespace(outstanding=SilentWorkers(responds), service="llm", now=0.0)
        is_over = []

        async def forward(forwarded):
            await responds.wait()
            if is_taken:
                forwarded.outstanding = None
            await asyncio.sleep(0.01)
            is_over.append(True)
            return True

        made, pace = forwarder_that(forward)
        forwarding = asyncio.ensure_future(made._forward_unless_response(run))
        await asyncio.sleep(0)
        responds.set()
        assert await forwarding is is_taken
        assert bool(is_over) is is_taken
        assert pace.open == 0

    asyncio.run(body())


@pytest.mark.parametrize("is_served", [True, False])
def test_a_passed_request_counts_at_one_box_at_a_time(is_served):
    """Guards against two boxes that earn retries by the same request while one serves it."""

    async def body():
        window = RetryWindow(limits=RetryLimits(ratio=0.2, window_s=10.0, slack=0.0))
        window.note_request(1.0)
        withheld = Withheld(code=Code.UPSTREAM_SLOW, ran=Ran.UNKNOWN, detail="silent")
        refused = []
        run = SimpleNamespace(
            service="llm",
            started_at=1.0,
            now=2.0,
            outstanding=None,
            withheld=withheld,
            has_not_run=False,
            organisation=None,
            units=0.0,
            refuse_finally=refused.append,
        )
        counted = []

        async def forward(_):
            counted.append(len(window.request_times))
            return is_served

        async def settle():
            return None

        made, _ = forwarder_that(forward)
        made.settle_links = settle
        made.state = SimpleNamespace(
            links=SimpleNamespace(are_lost=True), budget=lambda service: window
        )
        await made._serve_withheld(run, withheld)
        assert counted == [0]
        assert len(window.request_times) == (0 if is_served else 1)
        assert bool(refused) is not is_served

    asyncio.run(body())
