"""A few boxes of a hall read the store: all boxes choose the same ones and replace failed ones."""

from croftchute.systems.hall_relays import (
    MAX_RELAYS,
    MIN_HALL_SIZE,
    RELAY_BACKOFF_S,
    RELAY_COUNT,
    RELAY_DUTY_S,
    HallRelays,
)
from croftchute.systems.rendezvous import rank_nodes
from croftchute.tables.peers import Peer

IDS = [f"box-{number}" for number in range(20)]


def peer(box_id, mbps=0.0):
    return Peer(
        id=box_id,
        host="10.0.0.1",
        notice_port=1,
        control_port=2,
        started_at=0.0,
        heard_at=0.0,
        link_mbps=mbps,
    )


def hall_peers_of(box_id, ids=IDS):
    return [peer(other) for other in ids if other != box_id]


def followed(ids=IDS, now=0.0):
    """Return which box each box of a hall follows; None for those that read the store."""
    found = {}
    for box_id in ids:
        relays = HallRelays(own_id=box_id, hall="north")
        relay = relays.relay_to_ask(hall_peers_of(box_id, ids), now)
        found[box_id] = relay.id if relay is not None else None
    return found


def test_two_boxes_read_and_all_others_follow_one_of_them():
    found = followed()
    reading = {box for box, relay in found.items() if relay is None}
    assert reading == set(rank_nodes("north", IDS)[:RELAY_COUNT])
    assert {relay for relay in found.values() if relay is not None} == reading


def test_followers_are_spread_over_the_relays():
    found = followed()
    counts = [list(found.values()).count(relay) for relay in rank_nodes("north", IDS)[:RELAY_COUNT]]
    assert min(counts) >= 4


def test_all_boxes_of_a_small_hall_read():
    assert set(followed(IDS[: MIN_HALL_SIZE - 1]).values()) == {None}


def test_relay_without_updates_is_skipped_for_a_while():
    own = rank_nodes("north", IDS)[-1]
    relays = HallRelays(own_id=own, hall="north")
    hall_peers = hall_peers_of(own)
    first = relays.relay_to_ask(hall_peers, 0.0)
    relays.skip_relay(first.id, 0.0)
    second = relays.relay_to_ask(hall_peers, 0.1)
    assert second.id != first.id
    assert relays.relay_to_ask(hall_peers, RELAY_BACKOFF_S + 0.1).id == first.id


def test_box_reads_the_store_itself_if_no_relay_answers():
    own = rank_nodes("north", IDS)[-1]
    relays = HallRelays(own_id=own, hall="north")
    hall_peers = hall_peers_of(own)
    asked = set()
    while (relay := relays.relay_to_ask(hall_peers, 0.0)) is not None:
        asked.add(relay.id)
        relays.skip_relay(relay.id, 0.0)
    assert asked == set(rank_nodes("north", IDS)[:MAX_RELAYS])


def test_box_that_was_asked_reads_for_a_while_even_if_it_ranks_low():
    own = rank_nodes("north", IDS)[-1]
    relays = HallRelays(own_id=own, hall="north")
    hall_peers = hall_peers_of(own)
    relays.note_asked(0.0)
    assert relays.relay_to_ask(hall_peers, RELAY_DUTY_S - 0.1) is None
    assert relays.relay_to_ask(hall_peers, RELAY_DUTY_S + 0.1) is not None


def test_next_box_in_rank_replaces_a_stopped_relay():
    gone, *_, last = rank_nodes("north", IDS)
    left = [box for box in IDS if box != gone]
    assert {box for box, relay in followed(left).items() if relay is None} == set(
        rank_nodes("north", left)[:RELAY_COUNT]
    )
    assert followed(left)[last] != gone


def test_a_box_whose_relays_are_all_skipped_is_no_reader_for_that():
    """Guards against followers that call a store which is down as often as its readers do."""
    order = rank_nodes("north", IDS)
    relays = HallRelays(own_id=order[-1], hall="north")
    hall_peers = hall_peers_of(order[-1])
    for relay in order[:MAX_RELAYS]:
        relays.skip_relay(relay, 0.0)
    assert relays.relay_to_ask(hall_peers, 0.1) is None
    assert not relays.is_reader(hall_peers, 0.1)
    reader = HallRelays(own_id=order[0], hall="north")
    assert reader.is_reader(hall_peers_of(order[0]), 0.1)


def test_one_prefix_at_a_time_asks_a_relay_for_proofs():
    """Guards against two calls a proof, and against none while the other prefix has left."""
    relays = HallRelays(own_id="x", hall="north")
    assert relays.needs_proof("config", "a") and relays.needs_proof("config", "a")
    assert not relays.needs_proof("workers", "a")
    assert relays.needs_proof("workers", "b")
    relays.leave_relay("config")
    assert relays.needs_proof("workers", "a")


def test_a_proof_is_of_one_relay_and_the_latest_counts():
    relays = HallRelays(own_id="x", hall="north")
    relays.note_proof("a", 5.0)
    relays.note_proof("a", 4.0)
    assert relays.known_at("a") == 5.0
    assert relays.known_at("b") < 0.0
    relays.skip_relay("a", 6.0)
    assert relays.known_at("a") < 0.0


def followed_by_link(mbps_by_id):
    """Return which box each box follows if boxes know the rates of each other's links."""
    found = {}
    for box_id, own_mbps in mbps_by_id.items():
        relays = HallRelays(own_id=box_id, hall="north", own_mbps=own_mbps)
        hall_peers = [peer(other, mbps) for other, mbps in mbps_by_id.items() if other != box_id]
        relay = relays.relay_to_ask(hall_peers, 0.0)
        found[box_id] = relay.id if relay is not None else None
    return found


def test_boxes_with_wide_links_read_for_those_with_narrow_ones():
    """Relays with links of 5 Mbit/s took seconds to forward a long configuration."""
    wide = IDS[7:9]
    found = followed_by_link({box: 100.0 if box in wide else 5.0 for box in IDS})
    assert {box for box, relay in found.items() if relay is None} == set(wide)
    assert {relay for relay in found.values() if relay is not None} == set(wide)


def test_single_wide_link_is_joined_by_the_first_of_the_others():
    found = followed_by_link({box: 100.0 if box == IDS[3] else 5.0 for box in IDS})
    first = next(box for box in rank_nodes("north", IDS) if box != IDS[3])
    assert {box for box, relay in found.items() if relay is None} == {IDS[3], first}


def test_links_that_differ_little_change_nothing():
    found = followed_by_link({box: 90.0 + number for number, box in enumerate(IDS)})
    assert {box for box, relay in found.items() if relay is None} == set(
        rank_nodes("north", IDS)[:2]
    )
