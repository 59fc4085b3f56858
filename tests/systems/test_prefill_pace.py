import random

from croftchute.systems.prefill_pace import DEFAULT_PACE, PrefillPace, PrefillSample, fit_pace


def calls(count, *, waiting_share, seed=1):
    """Calls at 30,000 tokens a second and 60 ms beside, some of which waited up to 0.3 s."""
    rng = random.Random(seed)
    found = []
    for _ in range(count):
        tokens = rng.randrange(500, 6000)
        waited_s = rng.uniform(0.0, 0.3) if rng.random() < waiting_share else 0.0
        found.append(PrefillSample(tokens=tokens, seconds=0.06 + tokens / 30_000 + waited_s))
    return found


def test_without_calls_the_pace_is_a_guess():
    assert fit_pace([]) == PrefillPace(fixed_s=0.0, pace=DEFAULT_PACE)


def test_of_few_calls_the_quickest_counts():
    """It used to count for ever, however many calls told more."""
    few = [PrefillSample(tokens=3000, seconds=0.3), PrefillSample(tokens=3000, seconds=0.15)]
    assert fit_pace(few) == PrefillPace(fixed_s=0.0, pace=20_000.0)


def test_calls_that_waited_do_not_slow_the_pace():
    for seed in range(20):
        found = fit_pace(calls(40, waiting_share=0.4, seed=seed))
        assert 27_000 < found.pace < 36_000
        assert 0.04 < found.fixed_s < 0.09


def test_prompts_of_one_size_tell_the_quickest_pace():
    same = [PrefillSample(tokens=3000, seconds=0.15 + 0.01 * n) for n in range(10)]
    assert fit_pace(same).pace == 20_000.0
