"""The socket options by which silent connections are noticed, on connections of every kind."""

import asyncio
import socket

import pytest

from croftchute.forwarding.http.connection_pool import ConnectionPool, open_connection
from croftchute.forwarding.http.http_server import HttpIngress
from croftchute.forwarding.http.silence import ACCEPTED, KNOWLEDGE, WORK, SilenceLimits
from croftchute.tables.routing import IngressLimits

KNOWN_AGAIN_S = 3.0
"""Seconds after which a box must know what is new again: the settings' default."""

NOTICED_CALLER_S = 6.0
"""Seconds within which a caller that went silent while it waits is to be noticed."""


def options(raw):
    return SilenceLimits(
        idle_s=raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
        interval_s=raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL),
        probes=raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT),
        unread_ms=raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
    )


def is_probed(raw):
    return raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1


def with_ingress(test):
    async def echo(exchange):
        exchange.send(200, [], b"")

    async def body():
        async with asyncio.timeout(30):
            ingress = HttpIngress(handler=echo, limits=IngressLimits)
            await ingress.listen("127.0.0.1", 0)
            try:
                await test(ingress)
            finally:
                ingress.stop_accepting()
                for connection in list(ingress.connections):
                    connection.abort()

    asyncio.run(body())


def raw_of(connection):
    return connection.transport.get_extra_info("socket")


def test_connections_to_workers_are_probed_by_default():
    async def test(ingress):
        connection = await open_connection("127.0.0.1", ingress.port, 5.0)
        assert is_probed(raw_of(connection)) and options(raw_of(connection)) == WORK
        connection.abort()

    with_ingress(test)


@pytest.mark.parametrize("limits", [KNOWLEDGE, KNOWLEDGE.within(2.0)])
def test_a_pool_and_a_single_call_set_limits_of_their_own(limits):
    async def test(ingress):
        async def acquired(pool, **own):
            connection = await pool.acquire(
                "127.0.0.1", ingress.port, owner="", now=0.0, timeout_s=5.0, **own
            )
            found = options(raw_of(connection))
            assert is_probed(raw_of(connection))
            connection.abort()
            return found

        assert await acquired(ConnectionPool(limits=limits)) == limits
        assert await acquired(ConnectionPool(), limits=limits) == limits
        assert await acquired(ConnectionPool()) == WORK

    with_ingress(test)


def test_accepted_connections_are_probed_and_bear_callers_that_read_slowly():
    async def test(ingress):
        connection = await open_connection("127.0.0.1", ingress.port, 5.0)
        while not ingress.connections:
            await asyncio.sleep(0)
        (accepted,) = ingress.connections
        raw = accepted.transport.get_extra_info("socket")
        assert is_probed(raw) and options(raw) == ACCEPTED
        connection.abort()

    with_ingress(test)


def test_the_limits_meet_the_bounds_that_they_are_for():
    assert KNOWLEDGE.notice_s < KNOWN_AGAIN_S
    assert WORK.notice_s <= KNOWN_AGAIN_S
    assert ACCEPTED.notice_s <= NOTICED_CALLER_S


def test_a_caller_that_reads_slowly_is_under_no_limit_of_the_kernel():
    """It would end callers that take bytes, but too few at a time to open their window."""
    assert ACCEPTED.unread_ms == 0


@pytest.mark.parametrize("limits", [KNOWLEDGE, WORK, ACCEPTED])
def test_one_lost_probe_does_not_end_a_request_at_a_worker(limits):
    unanswered = (limits.notice_s - limits.idle_s) / limits.interval_s
    assert unanswered >= (1 if limits is KNOWLEDGE else 2)


@pytest.mark.parametrize("limits", [KNOWLEDGE, WORK, ACCEPTED])
@pytest.mark.parametrize("bound_s", [0.5, 1.0, 1.7, 2.0, 2.5, 3.0, 5.0, 9.9, 30.0])
def test_a_shorter_bound_tightens_as_far_as_whole_seconds_allow(limits, bound_s):
    tightened = limits.within(bound_s)
    assert tightened.notice_s <= max(2.0, bound_s)
    assert tightened.notice_s <= limits.notice_s
    if limits.notice_s <= bound_s:
        assert tightened == limits
