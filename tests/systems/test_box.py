from croftchute.bench.scenarios import OBERBAYERN
from croftchute.bench.slopes import reserve_body
from croftchute.commands import CancelAttempt
from croftchute.peers.messages import Heartbeat
from croftchute.systems.box import BoxSystems
from croftchute.systems.sharding import assign_evenly
from croftchute.tables.boxes import Box, BoxState

HALL = "halle-a"
NAMES = ["b0", "b1", "b2"]
OWNER = assign_evenly(["pool/0"], NAMES)["pool/0"]
OTHER, THIRD = [name for name in NAMES if name != OWNER]


def make_box(name, incarnation=1):
    return Box(
        id=name,
        hall=HALL,
        address="10.0.0.1",
        peer_port=1,
        admin_port=2,
        incarnation=incarnation,
        state=BoxState.LIVE,
    )


def heartbeat(incarnation=1, **changes):
    values = {"incarnation": incarnation, "revision": 1, "map_version": 0, "leaving": False}
    values |= {"hall": HALL, "address": "10.0.0.2", "peer_port": 3, "admin_port": 4}
    return Heartbeat(**(values | changes))


def make_systems(name=OWNER, peers=()):
    systems = BoxSystems(
        own=make_box(name), heartbeat_s=1.0, suspect_after_s=3.0, poll_s=1.0, seed=1
    )
    systems.add_boxes([make_box(peer) for peer in peers])
    systems.apply_config(OBERBAYERN.document(shard_engines=8), 1, 0.0)
    return systems


def cancel_commands(commands):
    return [command for command in commands if isinstance(command, CancelAttempt)]


def test_a_box_without_a_first_heartbeat_is_not_suspected():
    """Guards against a newly started box cancelling the attempts of boxes not yet heard from."""
    systems = make_systems(peers=(OTHER, THIRD))
    systems.receive(OTHER, reserve_body("r"), 0.1)
    commands = systems.receive(THIRD, heartbeat(), 0.2) + systems.tick(0.3)
    assert not cancel_commands(commands)
    assert list(systems.owner.ledger.reservations_by_key) == ["r-1"]


def test_attempts_of_a_silent_box_are_cancelled():
    systems = make_systems()
    systems.receive(OTHER, heartbeat(), 0.1)
    systems.receive(OTHER, reserve_body("r"), 0.2)
    assert cancel_commands(systems.tick(5.0))


def test_earlier_attempts_of_a_restarted_box_are_cancelled():
    systems = make_systems(peers=(OTHER,))
    systems.receive(OTHER, reserve_body("r"), 0.1)
    systems.receive(OTHER, heartbeat(incarnation=5), 0.2)
    commands = systems.receive(OTHER, heartbeat(incarnation=6), 0.3)
    assert cancel_commands(commands)


def test_a_heartbeat_of_an_older_incarnation_is_ignored():
    systems = make_systems()
    systems.receive(OTHER, heartbeat(incarnation=6), 0.1)
    systems.receive(OTHER, heartbeat(incarnation=5, leaving=True), 0.2)
    assert systems.membership.boxes_by_id[OTHER].state is BoxState.LIVE


def test_an_older_configuration_is_ignored():
    systems = make_systems()
    document = OBERBAYERN.document(shard_engines=8)
    assert systems.apply_config(document, 7, 1.0)
    assert systems.apply_config(document, 6, 1.1) == []
    assert systems.topology.revision == 7
