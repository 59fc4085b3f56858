"""Who reads the store in a hall: a few boxes, the same in all views, and others once they fail."""

from croftchute.systems.hall_readers import (
    ASKED_S,
    MIN_HALL,
    MOST_READERS,
    PASSED_OVER_S,
    READERS,
    HallReaders,
    ranked,
)
from croftchute.tables.peers import Peer

IDS = [f"box-{number}" for number in range(20)]


def peer(box_id):
    return Peer(
        id=box_id, host="10.0.0.1", notice_port=1, control_port=2, started_at=0.0, heard_at=0.0
    )


def mates_of(box_id, ids=IDS):
    return [peer(other) for other in ids if other != box_id]


def followed(ids=IDS, now=0.0):
    """Whom each box of a hall follows; None for those that read the store."""
    found = {}
    for box_id in ids:
        readers = HallReaders(own_id=box_id, hall="north")
        mate = readers.to_follow(mates_of(box_id, ids), now)
        found[box_id] = mate.id if mate is not None else None
    return found


def test_two_boxes_read_and_all_others_follow_one_of_them():
    found = followed()
    reading = {box for box, reader in found.items() if reader is None}
    assert reading == set(ranked("north", IDS)[:READERS])
    assert {reader for reader in found.values() if reader is not None} == reading


def test_the_followers_are_shared_out():
    found = followed()
    counts = [list(found.values()).count(reader) for reader in ranked("north", IDS)[:READERS]]
    assert min(counts) >= 4


def test_all_boxes_of_a_small_hall_read():
    assert set(followed(IDS[: MIN_HALL - 1]).values()) == {None}


def test_a_reader_that_gave_no_news_is_passed_over_for_a_while():
    own = ranked("north", IDS)[-1]
    readers = HallReaders(own_id=own, hall="north")
    mates = mates_of(own)
    first = readers.to_follow(mates, 0.0)
    readers.pass_over(first.id, 0.0)
    second = readers.to_follow(mates, 0.1)
    assert second.id != first.id
    assert readers.to_follow(mates, PASSED_OVER_S + 0.1).id == first.id


def test_a_box_whom_no_reader_answers_reads_the_store_itself():
    own = ranked("north", IDS)[-1]
    readers = HallReaders(own_id=own, hall="north")
    mates = mates_of(own)
    asked = set()
    while (reader := readers.to_follow(mates, 0.0)) is not None:
        asked.add(reader.id)
        readers.pass_over(reader.id, 0.0)
    assert asked == set(ranked("north", IDS)[:MOST_READERS])


def test_a_box_that_is_asked_reads_for_a_while_even_if_it_ranks_low():
    own = ranked("north", IDS)[-1]
    readers = HallReaders(own_id=own, hall="north")
    mates = mates_of(own)
    readers.note_asked(0.0)
    assert readers.to_follow(mates, ASKED_S - 0.1) is None
    assert readers.to_follow(mates, ASKED_S + 0.1) is not None


def test_when_a_reader_is_gone_the_next_in_rank_takes_its_place():
    gone, *_, last = ranked("north", IDS)
    left = [box for box in IDS if box != gone]
    assert {box for box, reader in followed(left).items() if reader is None} == set(
        ranked("north", left)[:READERS]
    )
    assert followed(left)[last] != gone
