"""Suspicion of silent boxes, also after this box itself was stalled."""

from croftchute.peers.messages import Heartbeat
from croftchute.systems.membership import Membership
from croftchute.tables.boxes import Box

SUSPECT_AFTER_S = 1.0


def make_membership():
    own = Box(id="own", hall="a", address="127.0.0.1", peer_port=1, admin_port=2)
    membership = Membership(own=own, suspect_after_s=SUSPECT_AFTER_S)
    receive_heartbeat(membership, 0.0)
    return membership


def receive_heartbeat(membership, now, sender="other"):
    heartbeat = Heartbeat(
        incarnation=1,
        revision=1,
        map_version=1,
        leaving=False,
        hall="a",
        address="127.0.0.1",
        peer_port=3,
        admin_port=4,
    )
    membership.heartbeat_received(sender, heartbeat, now)


def suspicions_until(membership, begin, end, step=0.1):
    found = []
    for n in range(int((end - begin) / step) + 1):
        found += [(begin + n * step, box) for box in membership.suspect_silent(begin + n * step)]
    return found


def test_a_silent_box_is_suspected_after_the_timeout():
    membership = make_membership()
    ((when, box),) = suspicions_until(membership, 0.0, 3.0)
    assert box == "other"
    assert SUSPECT_AFTER_S < when < SUSPECT_AFTER_S + 0.2


def test_a_box_that_was_stalled_itself_suspects_no_box_at_once():
    """Guards against cancelling the streams of live entry boxes on an overloaded machine."""
    membership = make_membership()
    membership.suspect_silent(0.1)
    assert membership.suspect_silent(2.6) == []
    receive_heartbeat(membership, 2.7)
    assert suspicions_until(membership, 2.7, 3.5) == []


def test_a_box_that_died_during_a_stall_is_suspected_a_full_timeout_later():
    membership = make_membership()
    membership.suspect_silent(0.1)
    ((when, _),) = suspicions_until(membership, 2.6, 6.0)
    assert 2.6 + SUSPECT_AFTER_S < when < 2.8 + SUSPECT_AFTER_S
