import random

from croftchute.systems.prefill_timing import (
    DEFAULT_TOKENS_PER_S,
    PrefillSample,
    PrefillTiming,
    fit_prefill_timing,
)


def calls(count, *, waiting_share, seed=1):
    """Return calls at 30,000 tokens/s with 60 ms overhead; some waited for up to 0.3 s."""
    rng = random.Random(seed)
    found = []
    for _ in range(count):
        tokens = rng.randrange(500, 6000)
        waited_s = rng.uniform(0.0, 0.3) if rng.random() < waiting_share else 0.0
        found.append(PrefillSample(tokens=tokens, seconds=0.06 + tokens / 30_000 + waited_s))
    return found


def test_without_calls_the_default_speed_is_assumed():
    assert fit_prefill_timing([]) == PrefillTiming(
        overhead_s=0.0, tokens_per_s=DEFAULT_TOKENS_PER_S
    )


def test_few_calls_give_the_speed_of_the_fastest():
    """Below ``MIN_SAMPLES`` the fastest call gives the speed, with no overhead.

    It must not do so any more once there are enough calls to fit a line.
    """
    few = [PrefillSample(tokens=3000, seconds=0.3), PrefillSample(tokens=3000, seconds=0.15)]
    assert fit_prefill_timing(few) == PrefillTiming(overhead_s=0.0, tokens_per_s=20_000.0)


def test_calls_that_waited_do_not_lower_the_fitted_speed():
    for seed in range(20):
        found = fit_prefill_timing(calls(40, waiting_share=0.4, seed=seed))
        assert 27_000 < found.tokens_per_s < 36_000
        assert 0.04 < found.overhead_s < 0.09


def test_prompts_of_one_size_give_the_speed_of_the_fastest_call():
    same = [PrefillSample(tokens=3000, seconds=0.15 + 0.01 * n) for n in range(10)]
    assert fit_prefill_timing(same).tokens_per_s == 20_000.0
