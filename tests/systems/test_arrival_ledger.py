"""Retries that are taken for calls of workers; guards against calls that no retry was taken for."""

import random

import pytest

from croftchute.systems.arrival_ledger import ArrivalLedger
from croftchute.systems.retry_budget import SAFETY_FACTOR, RetryLimits, RetryWindow

WINDOW_S = 10.0


def window_of(retries):
    limits = RetryLimits(ratio=0.0, window_s=WINDOW_S, slack=retries / SAFETY_FACTOR)
    return RetryWindow(limits=limits, rounding=0.5)


def test_a_retry_that_was_set_aside_is_dated_by_the_call_that_takes_it():
    window, ledger = window_of(2), ArrivalLedger()
    assert ledger.claim(window, 0.0, share=1.0, calls_behind=1)
    assert ledger.claim(window, 9.0, share=1.0)
    assert list(window.retry_times) == [9.0]
    assert window.left(18.9, share=1.0) == 1 and window.left(19.1, share=1.0) == 2


def test_a_retry_that_has_expired_before_its_call_is_taken_anew():
    """Guards against a call that is sent after the window has forgotten what was set aside."""
    window, ledger = window_of(1), ArrivalLedger()
    assert ledger.claim(window, 0.0, share=1.0, calls_behind=1)
    assert window.spend(WINDOW_S + 1.0, share=1.0)
    assert not ledger.claim(window, WINDOW_S + 2.0, share=1.0)
    assert ledger.arrivals == 1 and ledger.set_aside_at == []


def test_a_second_call_with_one_behind_it_keeps_both_dates():
    window, ledger = window_of(3), ArrivalLedger()
    assert ledger.claim(window, 0.0, share=1.0, calls_behind=1)
    assert ledger.claim(window, 1.0, share=1.0, calls_behind=1)
    assert list(window.retry_times) == [1.0, 1.0]
    assert ledger.claim(window, 2.0, share=1.0)
    assert list(window.retry_times) == [1.0, 2.0]


def test_a_prompt_that_the_second_worker_read_keeps_the_retry_for_the_call_behind_it():
    """Guards against a prompt that is read, and a stream that is refused as its retry is gone."""
    window, ledger = window_of(2), ArrivalLedger()
    assert ledger.claim(window, 0.0, share=1.0, calls_behind=1)
    assert ledger.claim(window, 0.5, share=1.0, calls_behind=1)
    ledger.note_prompt_read()
    window.refund(ledger.take_surplus(upcoming=1))
    assert window.spend(0.6, share=1.0) and not window.spend(0.6, share=1.0)
    assert ledger.claim(window, 0.7, share=1.0)


def test_a_request_that_one_worker_read_and_one_runs_takes_no_retry():
    window, ledger = window_of(1), ArrivalLedger()
    assert ledger.claim(window, 0.0, share=1.0, calls_behind=1)
    ledger.note_prompt_read()
    window.refund(ledger.take_surplus(upcoming=1))
    assert window.left(0.1, share=1.0) == 1
    assert ledger.claim(window, 0.2, share=1.0) and window.left(0.2, share=1.0) == 1


@pytest.mark.parametrize("seed", range(8))
def test_no_window_of_calls_holds_more_than_the_budget(seed):
    """Guards against a sequence of calls, answers and failures that the budget does not bound."""
    rng = random.Random(seed)
    window, now, excess = window_of(5), 0.0, []
    ledgers = [ArrivalLedger() for _ in range(60)]
    for _ in range(4000):
        now += rng.expovariate(8.0)
        number = rng.randrange(len(ledgers))
        ledger = ledgers[number]
        is_prefill = rng.random() < 0.4 and not ledger.is_prompt_read
        if not ledger.claim(window, now, share=1.0, calls_behind=int(is_prefill)):
            continue
        outcome = rng.choice(["lost", "lost", "unsent", "answered"])
        if outcome == "unsent":
            ledger.note_unsent()
        elif is_prefill and outcome == "answered":
            ledger.note_prompt_read()
            window.refund(ledger.take_surplus(upcoming=1))
        elif ledger.arrivals > 1:
            excess.append(now)
        if not is_prefill and outcome == "answered":
            window.refund(ledger.take_surplus())
            ledgers[number] = ArrivalLedger()
    assert len(excess) > 5 * 5
    assert all(sum(end - WINDOW_S < at <= end for at in excess) <= 5 for end in excess)
