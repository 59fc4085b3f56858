from collections import Counter

import pytest

from croftchute.systems.origin_witnesses import ASKED_PER_HALL, WITNESSES, WitnessRanking
from croftchute.tables.origins import stream_key

HALLS = {f"{hall}{number}": hall for hall in "abcde" for number in range(20)}
KEYS = [stream_key("", str(number)) for number in range(200)]


def ranking(*without, halls=HALLS):
    return WitnessRanking(hall_by_box={b: h for b, h in halls.items() if b not in without})


def test_a_stream_is_told_in_its_own_hall_and_in_another():
    for key in KEYS:
        told = ranking("a0").choose(key, "a")
        assert [HALLS[box] == "a" for box in told] == [True, False]


@pytest.mark.parametrize("halls", [{}, {"a1": "a"}, {"a1": "a", "a2": "a"}, {"b1": "b", "b2": "b"}])
def test_small_fleets_are_told_whole(halls):
    for key in KEYS:
        assert sorted(ranking(halls=halls).choose(key, "a")) == sorted(halls)[:WITNESSES]


def test_any_box_asks_those_that_were_told():
    """Boxes know one another but not themselves, and not quite the same others."""
    for key in KEYS:
        told = set(ranking("a0").choose(key, "a"))
        for asker, missing in (("a5", "b7"), ("b3", "c9"), ("e19", "a1")):
            asked = set(ranking(asker, missing).likely(key))
            assert told - {asker, missing} <= asked
            assert len(asked) == 5 * ASKED_PER_HALL


def test_the_boxes_that_are_told_are_spread():
    told = Counter(
        box for n in range(4000) for box in ranking("a0").choose(stream_key("", str(n)), "a")
    )
    near = [count for box, count in told.items() if HALLS[box] == "a"]
    assert max(near) < 2 * min(near) and len(near) == 19
