"""Requests that are left to other boxes while silent workers of this one have them."""

import asyncio
from types import SimpleNamespace

import pytest

from croftchute.forwarding.callers.forwarder import Forwarder
from croftchute.systems.failover_pace import FailoverPace


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
