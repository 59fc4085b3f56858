"""Configurations that take longer to read than a call may stay silent (incident inc2)."""

import base64
import random

import msgspec
from platform_fleet import config, fleet, route, run, until

from croftchute.forwarding.decision_log import Decision
from croftchute.soak.proxy import FaultyLink, LinkFault, Target

ROUTES = 4000
NAME_BITS = 160
"""Random bits of a route's name and prefix: what no compression takes away."""

STORE_PIECE_DELAY_S = 0.3
"""Seconds before each 64 KB of the store's answer: the whole takes three times the 1.5 s that were
once allowed."""

PEER_PIECE_DELAY_S = 0.15
"""The same of a peer's answer, for which 0.5 s were allowed; a head comes well within that."""

MOST_TRIES = 4
STORM = 6
"""Versions written while the first one is read."""


def long_config(version, count=ROUTES):
    """A configuration of many routes whose names are all different."""
    rng = random.Random(version)
    names = [f"{rng.getrandbits(NAME_BITS):x}" for _ in range(count)]
    routes = [route(f"r-{name}", f"/{name}/", "idempotent", "desk") for name in names]
    return config(version, routes=routes)


def transfer_sizes(box):
    """A list to which the size of each answer from the store or a peer is added."""
    sizes = []
    observe = box.state.metrics.observe_transfer
    box.state.metrics.observe_transfer = lambda transfer: (
        sizes.append(transfer.size),
        observe(transfer),
    )
    return sizes


def encoded_length(version):
    """The length in bytes of a configuration as the store sends it."""
    return len(base64.b64encode(msgspec.json.encode(long_config(version))))


async def slow_link(port):
    """A link that brings what is asked for piece by piece."""
    link = FaultyLink(name="slow", target=Target(host="127.0.0.1", port=port))
    await link.start()
    return link


def test_a_configuration_that_takes_seconds_to_read_is_read_once_and_put_in_force():
    """Readings were cut after 1.5 s and begun anew for ever; every other call waited behind."""

    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            link = await slow_link(made.store.ingress.port)
            box = await made.add_box(store_port=link.port)
            await made.ready(box)
            link.set_fault(LinkFault.DELAYED, delay_s=STORE_PIECE_DELAY_S)
            made.store.put("op/config", long_config(9))
            made.store.calls.clear()
            await until(
                lambda: box.state.table.version == 9
                or made.store.calls.count("kv-watch") > MOST_TRIES
            )
            assert box.state.table.version == 9
            link.stop()

    run(body)


def test_a_configuration_that_takes_seconds_to_read_comes_from_a_peer_too():
    """A peer's copy was cut after half a second, and asked for again once or twice a second."""

    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            first = await made.add_box("box-1")
            await made.ready(first)
            made.store.put("op/config", long_config(9))
            await until(lambda: first.state.table.version == 9)
            link = await slow_link(first.control.port)
            link.set_fault(LinkFault.DELAYED, delay_s=PEER_PIECE_DELAY_S)
            first.exchange.control_port = link.port
            second = await made.add_box("box-2", store_port=1)
            seen = []
            second.state.log.observer = seen.append
            first.state.peers.seeds = (("127.0.0.1", second.exchange.port),)
            first.exchange.send_notices()
            await until(
                lambda: second.state.table is not None
                or seen.count(Decision.PEER_FETCH) > MOST_TRIES
            )
            assert second.state.table is not None and second.state.table.version == 9
            link.stop()

    run(body)


def test_versions_that_are_written_while_one_is_read_are_passed_over_but_for_the_newest():
    """A watch brings each of them at full length: a box on a slow link fell ever further behind."""

    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            link = await slow_link(made.store.ingress.port)
            box = await made.add_box(store_port=link.port)
            await made.ready(box)
            sizes = transfer_sizes(box)
            link.set_fault(LinkFault.DELAYED, delay_s=PEER_PIECE_DELAY_S)
            made.store.put("op/config", long_config(9))
            await until(lambda: box.follower.config._coming_since is not None)
            newest = 9 + STORM
            for version in range(10, newest + 1):
                made.store.put("op/config", long_config(version))
            await until(lambda: box.state.table.version == newest)
            assert sum(sizes) < 4 * encoded_length(newest)
            link.stop()

    run(body)


def test_after_a_silent_watch_only_the_newest_of_many_versions_is_read():
    """The watch was asked again as before, and brought each version at full length."""

    async def body():
        async with fleet() as made:
            await made.add_worker("w1")
            link = await slow_link(made.store.ingress.port)
            box = await made.add_box(store_port=link.port)
            await made.ready(box)
            made.store.put("op/config", long_config(9))
            await until(lambda: box.state.table.version == 9)
            link.set_fault(LinkFault.REFUSED)
            link.reset_all()
            await until(lambda: box.follower.config._dependency.is_lost)
            newest = 9 + STORM
            for version in range(10, newest + 1):
                made.store.put("op/config", long_config(version))
            sizes = transfer_sizes(box)
            link.set_fault(LinkFault.NONE)
            await until(lambda: box.state.table.version == newest)
            assert sum(sizes) < 2 * encoded_length(newest)
            link.stop()

    run(body)


def test_the_long_configuration_of_these_tests_is_near_the_longest_that_the_store_holds():
    assert 0.5 * 2**20 < len(msgspec.json.encode(long_config(9))) < 2**20
