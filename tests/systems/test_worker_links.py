"""When links to all workers count as lost, and when as restored.

Guards against a crash, an overload or a moment of silence taken for a cut, and against flapping.
"""

import pytest

from croftchute.systems.worker_links import (
    MAX_GOOD_ROUNDS,
    SILENT_S,
    SOUND_INTERVAL_S,
    UNCONNECTED_S,
    LinkChange,
    ProbeOutcome,
    ProbeRound,
    WorkerLinks,
)

ANSWERED, CONNECTED = ProbeOutcome.ANSWERED, ProbeOutcome.CONNECTED
REFUSED, UNCONNECTED, SILENT = ProbeOutcome.REFUSED, ProbeOutcome.UNCONNECTED, ProbeOutcome.SILENT


def probe(links, *outcomes, at, took_s=0.0):
    return links.note_round(ProbeRound(began_at=at, outcomes=outcomes), at + took_s)


def lose(links, at):
    assert probe(links, REFUSED, REFUSED, at=at) is LinkChange.LOST


def test_two_refusals_settle_it_at_once():
    links = WorkerLinks()
    lose(links, 1.0)
    assert links.are_lost


@pytest.mark.parametrize("failure", [REFUSED, UNCONNECTED, SILENT])
def test_a_worker_that_fails_beside_one_that_answers_is_no_cut(failure):
    links = WorkerLinks()
    for step in range(20):
        assert probe(links, failure, ANSWERED, at=step * 0.25) is None
    assert not links.are_lost and not links.are_suspect


@pytest.mark.parametrize("failure", [REFUSED, UNCONNECTED, SILENT])
def test_the_only_worker_may_be_silent_or_gone_for_a_second(failure):
    links = WorkerLinks()
    assert probe(links, failure, at=0.0) is None
    assert probe(links, failure, at=1.0) is None
    assert probe(links, ANSWERED, at=1.2) is None
    assert probe(links, failure, at=5.0) is None
    assert probe(links, failure, at=5.0 + SILENT_S) is LinkChange.LOST


def test_connections_that_hang_count_once_they_hang_for_longer_than_a_lost_packet():
    links = WorkerLinks()
    assert probe(links, UNCONNECTED, UNCONNECTED, at=0.0, took_s=0.25) is None
    assert links.are_suspect
    assert probe(links, UNCONNECTED, UNCONNECTED, at=0.3, took_s=0.25) is LinkChange.LOST


def test_silence_after_connecting_needs_longer_than_hanging_connections():
    links = WorkerLinks()
    assert probe(links, SILENT, UNCONNECTED, at=0.0, took_s=0.3) is None
    assert probe(links, SILENT, SILENT, at=UNCONNECTED_S, took_s=0.3) is None
    assert probe(links, SILENT, SILENT, at=SILENT_S) is LinkChange.LOST


@pytest.mark.parametrize("failure", [UNCONNECTED, SILENT])
def test_busy_workers_that_answer_on_open_connections_are_in_reach(failure):
    links = WorkerLinks()
    for step in range(20):
        links.note_heard(step * 0.25 + 0.1)
        assert probe(links, failure, failure, at=step * 0.25, took_s=0.2) is None


def test_links_that_live_on_while_new_ones_are_refused_are_lost_and_still_heard():
    links = WorkerLinks()
    links.note_heard(0.9)
    lose(links, 1.0)
    assert links.is_heard(1.5) and not links.is_heard(2.0)


def test_a_connection_beside_workers_that_refuse_holds():
    """Guards against crashed workers of a service without a health path taken for a cut."""
    links = WorkerLinks()
    assert probe(links, REFUSED, REFUSED, CONNECTED, REFUSED, at=0.0) is None
    assert not links.are_suspect


def test_a_connection_alone_tells_nothing_beside_workers_that_are_silent():
    links = WorkerLinks()
    assert probe(links, CONNECTED, CONNECTED, at=0.0) is None
    assert not links.are_suspect
    assert probe(links, CONNECTED, SILENT, SILENT, at=1.0) is None
    assert links.are_suspect
    assert probe(links, CONNECTED, SILENT, SILENT, at=1.0 + SILENT_S) is LinkChange.LOST
    assert probe(links, CONNECTED, SILENT, at=4.0) is None
    assert probe(links, CONNECTED, CONNECTED, at=5.0) is LinkChange.RESTORED


def test_links_are_restored_by_two_workers_or_by_the_only_one():
    links = WorkerLinks()
    lose(links, 0.0)
    assert probe(links, ANSWERED, REFUSED, at=0.25) is None
    assert probe(links, ANSWERED, ANSWERED, REFUSED, at=0.5) is LinkChange.RESTORED
    lose(links, 60.0)
    assert probe(links, ANSWERED, at=60.25) is LinkChange.RESTORED


def test_links_that_flap_must_hold_for_longer_each_time():
    links = WorkerLinks()
    now = 0.0
    needed = []
    for _ in range(6):
        lose(links, now)
        rounds = 0
        while links.are_lost:
            now += 0.25
            rounds += 1
            probe(links, ANSWERED, ANSWERED, at=now)
        needed.append(rounds)
        now += 0.25
    assert needed == [1, 2, 4, 8, MAX_GOOD_ROUNDS, MAX_GOOD_ROUNDS]
    lose(links, now + 60.0)
    assert probe(links, ANSWERED, ANSWERED, at=now + 61.0) is LinkChange.RESTORED


def test_a_round_without_workers_decides_nothing():
    links = WorkerLinks()
    assert probe(links, at=0.0) is None
    lose(links, 1.0)
    assert probe(links, at=2.0) is None
    assert links.are_lost


def test_a_call_that_failed_before_the_probes_counts_towards_the_time():
    links = WorkerLinks()
    links.note_trouble(0.0)
    assert probe(links, UNCONNECTED, UNCONNECTED, at=0.25, took_s=0.3) is LinkChange.LOST


def test_a_call_that_failed_before_an_answer_came_counts_for_nothing():
    links = WorkerLinks()
    links.note_heard(0.2)
    links.note_trouble(0.0)
    assert not links.are_suspect
    assert probe(links, UNCONNECTED, UNCONNECTED, at=0.25, took_s=0.3) is None
    assert links.is_verdict_near
    assert probe(links, UNCONNECTED, ANSWERED, at=0.6, took_s=0.3) is None
    assert not links.is_verdict_near


def test_failing_calls_alone_do_not_have_sound_links_probed_more_often():
    """Guards against a slow worker that has every box probe its workers ten times a second."""
    links = WorkerLinks()
    probe(links, ANSWERED, UNCONNECTED, at=0.0)
    links.note_trouble(0.1)
    assert links.are_suspect
    assert links.next_round_s() == SOUND_INTERVAL_S
    probe(links, UNCONNECTED, UNCONNECTED, at=1.0)
    assert links.next_round_s() < SOUND_INTERVAL_S


def test_a_list_that_has_become_empty_ends_the_wait_for_a_verdict():
    links = WorkerLinks()
    probe(links, UNCONNECTED, UNCONNECTED, at=0.0, took_s=0.2)
    assert links.is_verdict_near
    assert probe(links, at=0.3) is None
    assert not links.is_verdict_near and not links.are_suspect
