from croftchute.systems.prefill_queue import PrefillEstimate, PrefillQueue
from croftchute.systems.prefill_timing import PrefillTiming

TIMING = PrefillTiming(tokens_per_s=30_000.0)


def test_a_prompt_does_not_wait_at_an_idle_worker():
    assert PrefillQueue().wait_s(timing=TIMING, now=5.0) == 0.0


def test_a_prompt_waits_for_the_open_calls_of_this_box():
    queue = PrefillQueue()
    queue.note_sent("a", 3000, 0.0)
    queue.note_sent("b", 3000, 0.0)
    assert queue.wait_s(timing=TIMING, now=0.0) == 0.2
    queue.note_dropped("a")
    assert queue.wait_s(timing=TIMING, now=0.0) == 0.1


def test_an_overdue_call_shows_prompts_of_other_boxes():
    queue = PrefillQueue()
    queue.note_sent("a", 3000, 0.0)
    assert round(queue.wait_s(timing=TIMING, now=0.7), 3) == 0.6


def test_an_observed_wait_decays():
    queue = PrefillQueue()
    queue.note_sent("a", 3000, 0.0)
    queue.note_answered("a", timing=TIMING, now=0.5)
    assert round(queue.wait_s(timing=TIMING, now=0.5), 3) == 0.4
    assert round(queue.wait_s(timing=TIMING, now=1.0), 3) == 0.2
    assert queue.wait_s(timing=TIMING, now=60.0) < 0.001


def test_a_prompt_is_prefilled_at_its_decode_worker_only_when_the_queue_is_long():
    short = PrefillEstimate.predict(prompt_tokens=3000, timing=TIMING, wait_s=0.2)
    assert short.prefers_remote(target_s=0.9)
    long = PrefillEstimate.predict(prompt_tokens=3000, timing=TIMING, wait_s=0.5)
    assert not long.prefers_remote(target_s=0.9)


def test_a_prompt_that_is_slow_at_its_decode_worker_too_is_prefilled_remotely():
    times = PrefillEstimate.predict(prompt_tokens=30_000, timing=TIMING, wait_s=0.9)
    assert times.prefers_remote(target_s=0.9)
