from croftchute.systems.prefill_queue import PrefillEstimate, PrefillQueue
from croftchute.systems.prefill_timing import PrefillTiming

TIMING = PrefillTiming(tokens_per_s=30_000.0)


def test_an_idle_worker_makes_no_prompt_wait():
    assert PrefillQueue().wait_s(timing=TIMING, now=5.0) == 0.0


def test_what_this_box_has_open_there_is_ahead_of_one_more_prompt():
    queue = PrefillQueue()
    queue.note_sent("a", 3000, 0.0)
    queue.note_sent("b", 3000, 0.0)
    assert queue.wait_s(timing=TIMING, now=0.0) == 0.2
    queue.note_dropped("a")
    assert queue.wait_s(timing=TIMING, now=0.0) == 0.1


def test_a_call_that_is_overdue_tells_of_prompts_of_others():
    queue = PrefillQueue()
    queue.note_sent("a", 3000, 0.0)
    assert round(queue.wait_s(timing=TIMING, now=0.7), 3) == 0.6


def test_a_wait_that_was_seen_fades():
    queue = PrefillQueue()
    queue.note_sent("a", 3000, 0.0)
    queue.note_answered("a", timing=TIMING, now=0.5)
    assert round(queue.wait_s(timing=TIMING, now=0.5), 3) == 0.4
    assert round(queue.wait_s(timing=TIMING, now=1.0), 3) == 0.2
    assert queue.wait_s(timing=TIMING, now=60.0) < 0.001


def test_a_prompt_is_read_at_its_decode_worker_only_when_the_queue_is_long():
    short = PrefillEstimate.predict(prompt_tokens=3000, timing=TIMING, wait_s=0.2)
    assert short.prefers_remote(target_s=0.9)
    long = PrefillEstimate.predict(prompt_tokens=3000, timing=TIMING, wait_s=0.5)
    assert not long.prefers_remote(target_s=0.9)


def test_a_prompt_that_its_decode_worker_reads_as_slowly_goes_ahead_all_the_same():
    times = PrefillEstimate.predict(prompt_tokens=30_000, timing=TIMING, wait_s=0.9)
    assert times.prefers_remote(target_s=0.9)
