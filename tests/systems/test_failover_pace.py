"""How many silent requests of a box look for another worker at a time."""

import heapq

import pytest

from croftchute.systems.failover_pace import MAX_SEARCHES, FailoverPace

ANSWER_S = 0.005
SILENT_S = 0.08
BOXES = 360
WORKERS = 2300
STREAMS_PER_BOX = 120


def searches_of_a_box(*, is_answered, seconds, streams=STREAMS_PER_BOX):
    """Return when the searches of a box began whose streams all fall silent at 0 s."""
    pace = FailoverPace()
    waiting = [(0.0, number) for number in range(streams)]
    ends = []
    began_at = []
    while waiting or ends:
        now = min(waiting[0][0] if waiting else seconds, ends[0] if ends else seconds)
        if now >= seconds:
            break
        if ends and ends[0] <= now:
            heapq.heappop(ends)
            pace.end()
            if is_answered:
                pace.note_answered()
            else:
                pace.note_silent(now)
            continue
        _, number = heapq.heappop(waiting)
        wait_s = pace.wait_s(now)
        if wait_s > 0.0:
            heapq.heappush(waiting, (now + wait_s, number))
            continue
        pace.begin()
        began_at.append(now)
        heapq.heappush(ends, now + (ANSWER_S if is_answered else SILENT_S))
        if not is_answered:
            heapq.heappush(waiting, (now + SILENT_S, number))
    return began_at


def test_a_service_that_pauses_gets_few_calls_from_a_large_fleet():
    """Guards against a storm of calls for room from all boxes as their streams fall silent."""
    began_at = searches_of_a_box(is_answered=False, seconds=1.0)
    at_once = sum(at < SILENT_S for at in began_at)
    assert at_once <= MAX_SEARCHES
    calls_per_worker = len(began_at) * BOXES / WORKERS
    assert calls_per_worker < 4.0


def test_streams_of_a_worker_that_is_stuck_all_find_others_soon():
    """Guards against a pace that keeps streams of a worker that is gone waiting."""
    began_at = searches_of_a_box(is_answered=True, seconds=5.0)
    assert len(began_at) == STREAMS_PER_BOX
    assert max(began_at) < 0.5


def test_the_window_shrinks_with_silence_and_grows_with_answers():
    pace = FailoverPace()
    for number in range(5):
        pace.note_silent(now=float(number))
    assert pace.window == 1.0
    for _ in range(2 * MAX_SEARCHES):
        pace.note_answered()
    assert pace.window == MAX_SEARCHES


@pytest.mark.parametrize("open_searches", [MAX_SEARCHES, MAX_SEARCHES + 1])
def test_no_search_begins_while_as_many_as_allowed_are_open(open_searches):
    pace = FailoverPace()
    for _ in range(open_searches):
        pace.begin()
    assert pace.wait_s(now=0.0) > 0.0
    for _ in range(2):
        pace.end()
    assert pace.wait_s(now=0.0) == 0.0
