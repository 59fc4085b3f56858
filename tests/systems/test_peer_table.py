import random
from dataclasses import replace

from croftchute.peers.messages import BoxNotice
from croftchute.systems.peer_table import (
    COUNTED_S,
    FANOUT,
    FORGET_S,
    FRESH_S,
    HALL_FANOUT,
    HALL_TIMEOUT_S,
    PeerTable,
)
from croftchute.systems.stage_balance import DemandCounts
from croftchute.tables.peers import DemandNotice, WorkerNotice

NOTICE = BoxNotice(
    started_at=100.0,
    host="10.0.0.2",
    notice_port=7000,
    control_port=7001,
    config_version=3,
    workers_revision=9,
    workers=(WorkerNotice(worker="w", in_flight=2, failures=1.5),),
    demands=(
        DemandNotice(
            service="s",
            asks=10,
            prompt_tokens=500,
            output_tokens=90,
            ended=4,
            ended_tokens=30,
            ended_s=1.5,
        ),
    ),
)


def test_a_notice_counts_while_it_is_fresh():
    table = PeerTable(own_id="me")
    assert table.apply_notice("b", NOTICE, 0.0)
    assert table.in_flight("w", 1.0) == 2
    assert table.failures("w", 1.0) == 1.5
    reported = DemandCounts(
        asks=10, prompt_tokens=500, output_tokens=90, ended=4, ended_tokens=30, ended_s=1.5
    )
    assert table.demand("s", 1.0) == reported
    assert table.in_flight("w", 10.0) == 0
    assert table.demand("s", 10.0) == DemandCounts()


def test_boxes_whose_demand_counts_are_counted_for_as_long():
    """Demand is scaled by this count, so both must use the same time limit."""
    table = PeerTable(own_id="me")
    table.apply_notice("b", NOTICE, 0.0)
    table.apply_notice("c", NOTICE, 1.0)
    assert [table.fresh_boxes(now) for now in (1.0, FRESH_S + 0.5, FRESH_S + 1.1)] == [2, 1, 0]
    assert table.demand("s", FRESH_S + 0.5).asks == 10


def test_notice_from_before_a_restart_is_ignored():
    table = PeerTable(own_id="me")
    table.apply_notice("b", NOTICE, 0.0)
    assert not table.apply_notice("b", replace(NOTICE, started_at=50.0, config_version=9), 1.0)
    assert table.peers_by_id["b"].config_version == 3


def test_own_notice_is_ignored():
    table = PeerTable(own_id="me")
    assert not table.apply_notice("me", NOTICE, 0.0)
    assert table.boxes(0.0) == 1


def test_boxes_are_counted_for_some_seconds_and_forgotten_later():
    table = PeerTable(own_id="me")
    table.apply_notice("b", NOTICE, 0.0)
    assert table.boxes(COUNTED_S - 1.0) == 2
    assert table.boxes(COUNTED_S + 1.0) == 1
    assert table.forget(FORGET_S + 1.0) == ["b"]


def test_notice_targets_are_bounded_in_a_large_fleet():
    table = PeerTable(own_id="me", seeds=(("10.9.9.9", 1),))
    for number in range(400):
        table.apply_notice(f"box-{number}", replace(NOTICE, host=f"10.0.1.{number}"), 0.0)
    assert len(table.targets(0.5, random.Random(1))) == FANOUT
    assert len(table.introduced(0.5, random.Random(1))) == 4


def test_seeds_are_asked_while_few_peers_answer():
    table = PeerTable(own_id="me", seeds=(("10.0.0.9", 7000), ("10.0.0.8", 7000)))
    assert table.targets(0.0, random.Random(1)) == [("10.0.0.9", 7000), ("10.0.0.8", 7000)]


def test_the_newest_peers_are_found_among_the_live():
    table = PeerTable(own_id="me")
    table.apply_notice("old", NOTICE, 0.0)
    table.apply_notice("new", replace(NOTICE, config_version=4, workers_revision=2), 0.0)
    by_config, by_workers = table.newest(0.5, random.Random(1))
    assert by_config is not None and by_config.id == "new"
    assert by_workers is not None and by_workers.id == "old"
    assert table.newest(60.0, random.Random(1)) == (None, None)


def test_averages_do_not_depend_on_the_number_of_fresh_peers():
    table = PeerTable(own_id="me")
    table.apply_notice("b", NOTICE, 0.0)
    table.apply_notice("c", NOTICE, 5.0)
    table.apply_notice("d", NOTICE, 5.0)
    assert table.boxes(6.0) == 4
    all_heard, two_heard = table.demand("s", 0.5), table.demand("s", 6.0)
    assert (all_heard.asks, two_heard.asks) == (30, 20)
    assert all_heard.averages == two_heard.averages
    assert all_heard.averages is not None and all_heard.averages.prompt_tokens == 50.0


def test_longest_wait_reported_by_peers_decays():
    table = PeerTable(own_id="me")
    reported = replace(
        NOTICE, workers=(WorkerNotice(worker="p", in_flight=1, failures=0, wait_s=0.8),)
    )
    table.apply_notice("b", reported, 0.0)
    table.apply_notice("c", NOTICE, 0.0)
    assert table.prefill_wait_s("p", 0.0) == 0.8
    assert table.prefill_wait_s("p", 0.5) == 0.4
    assert table.prefill_wait_s("p", 10.0) == 0.0


def test_notices_go_mostly_to_the_own_hall_and_always_to_some_others():
    table = PeerTable(own_id="me", hall="north")
    for number in range(60):
        hall = "north" if number % 3 == 0 else "south"
        table.apply_notice(
            f"box-{number}", replace(NOTICE, host=f"10.0.1.{number}", hall=hall), 0.0
        )
    north = {p.host for p in table.peers_by_id.values() if p.hall == "north"}
    targets = table.targets(0.5, random.Random(1))
    assert len(targets) == FANOUT
    assert sum(host in north for host, _ in targets) == HALL_FANOUT


def test_small_hall_sends_the_remaining_notices_to_other_halls():
    table = PeerTable(own_id="me", hall="north")
    for number in range(60):
        hall = "north" if number < 2 else "south"
        table.apply_notice(
            f"box-{number}", replace(NOTICE, host=f"10.0.1.{number}", hall=hall), 0.0
        )
    assert len(table.targets(0.5, random.Random(1))) == FANOUT


def test_boxes_that_are_behind_do_not_all_ask_the_same_peer():
    asked = set()
    for seed in range(40):
        table = PeerTable(own_id="me", hall="north")
        for number in range(8):
            hall = "north" if number < 4 else "south"
            table.apply_notice(f"box-{number}", replace(NOTICE, hall=hall), 0.0)
        by_config, _ = table.newest(0.5, random.Random(seed))
        asked.add(by_config.id)
    assert asked == {f"box-{number}" for number in range(4)}


def test_leaving_box_is_asked_only_for_what_no_other_has():
    """It may stop in the middle of its answer, but may also be the first to have read the store."""
    table = PeerTable(own_id="me", hall="north")
    table.apply_notice(
        "leaving", replace(NOTICE, config_version=9, hall="north", is_leaving=True), 0.0
    )
    table.apply_notice("staying", replace(NOTICE, config_version=8), 0.0)
    by_config, _ = table.newest(0.5, random.Random(1))
    assert by_config is not None and by_config.id == "leaving"
    table.apply_notice("staying", replace(NOTICE, config_version=9), 0.1)
    by_config, _ = table.newest(0.5, random.Random(1))
    assert by_config is not None and by_config.id == "staying"


def two_halls(now):
    """Return a table of two halls whose boxes were heard at different times.

    One box of each hall was heard just now.
    """
    table = PeerTable(own_id="me", hall="north")
    for hall in ("north", "south"):
        for number, ago_s in enumerate((0.1, 9.0, 30.0)):
            table.apply_notice(f"{hall}-{number}", replace(NOTICE, hall=hall), now - ago_s)
    return table


def test_rarely_heard_boxes_are_reachable_while_their_hall_is():
    """In a fleet of 78, a fifth of other halls' boxes was silent for 15 s at any time."""
    now = 100.0
    table = two_halls(now)
    assert len(table.reachable(now)) == 6
    table.apply_notice("gone", replace(NOTICE, hall="south"), now - FORGET_S - 1.0)
    table.apply_notice("leaving", replace(NOTICE, hall="south", is_leaving=True), now)
    assert len(table.reachable(now)) == 6


def test_silent_hall_is_unreachable_until_a_notice_arrives():
    now = 100.0
    table = two_halls(now)
    later = now + HALL_TIMEOUT_S
    table.apply_notice("north-1", replace(NOTICE, hall="north"), later)
    assert sorted(table.reachable(later)) == ["north-0", "north-1", "north-2"]
    table.apply_notice("south-2", replace(NOTICE, hall="south"), later + 0.1)
    assert len(table.reachable(later + 0.1)) == 6


def test_box_that_receives_no_notices_reaches_nobody():
    assert two_halls(100.0).reachable(100.0 + 2 * HALL_TIMEOUT_S) == []


def entries_by_full_scan(table, worker_id, now):
    """Return the fresh entries found by a scan of all peers, as a reference."""
    return [
        entry
        for peer in table.peers_by_id.values()
        if now - peer.heard_at <= FRESH_S
        and (entry := (peer.workers_by_id or {}).get(worker_id)) is not None
    ]


def test_what_is_known_of_a_worker_is_what_all_peers_told_of_it():
    rng = random.Random(7)
    table = PeerTable(own_id="me")
    now = 0.0
    for _ in range(600):
        now += rng.choice((0.01, 0.05, 2.0, FORGET_S / 2))
        reported = tuple(
            WorkerNotice(
                worker=f"w{n}", in_flight=rng.randrange(5), failures=1.0, wait_s=rng.random()
            )
            for n in rng.sample(range(6), rng.randrange(4))
        )
        peer = f"b{rng.randrange(9)}"
        table.apply_notice(
            peer, replace(NOTICE, started_at=100.0 + rng.randrange(3), workers=reported), now
        )
        if rng.random() < 0.1:
            table.forget(now)
        for n in range(6):
            expected = entries_by_full_scan(table, f"w{n}", now)
            assert table.in_flight(f"w{n}", now) == sum(entry.in_flight for entry in expected)
            assert table.failures(f"w{n}", now) == sum(entry.failures for entry in expected)


def test_an_address_is_known_while_a_peer_is_there():
    table = PeerTable(own_id="me")
    address, moved = ("10.0.0.2", 7000), ("10.0.0.9", 7000)
    assert not table.knows(address)
    table.apply_notice("b", NOTICE, 0.0)
    assert table.knows(address)
    table.apply_notice("b", replace(NOTICE, started_at=101.0, host="10.0.0.9"), 1.0)
    assert not table.knows(address) and table.knows(moved)
    table.apply_notice("c", replace(NOTICE, host="10.0.0.9"), 2.0)
    table.forget(1.5 + FORGET_S)
    assert table.knows(moved)
    table.forget(2.5 + FORGET_S)
    assert not table.knows(moved)
