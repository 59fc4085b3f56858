from math import exp, isclose

from hypothesis import given
from hypothesis import strategies as st

from croftchute.systems.admission import max_queue_s
from croftchute.systems.fairness import DECAY_PER_S, MAX_METERED_CALLERS, CallerUsageMeter

CHARGES = st.lists(
    st.tuples(st.sampled_from("abc"), st.floats(1, 1000), st.floats(0, 5)), min_size=1, max_size=30
)
WEIGHT_BY_CALLER = {"a": 1.0, "b": 2.0, "c": 4.0}


@given(CHARGES)
def test_the_meter_matches_the_decayed_sum_of_all_charges(charges):
    meter, history, now = CallerUsageMeter(), [], 0.0
    for caller, tokens, wait in charges:
        now += wait
        meter.charge(caller, tokens, weight=WEIGHT_BY_CALLER[caller], now=now)
        history.append((caller, tokens, now))
    decayed = [(c, tokens * exp(-DECAY_PER_S * (now - at))) for c, tokens, at in history]
    total = sum(tokens for _, tokens in decayed)
    weights = sum(WEIGHT_BY_CALLER[c] for c in {c for c, _ in decayed})
    for caller in "abc":
        used = sum(tokens for c, tokens in decayed if c == caller) / WEIGHT_BY_CALLER[caller]
        assert isclose(meter.excess(caller, now), used / (total / weights), abs_tol=1e-6)


def test_state_of_idle_callers_is_dropped():
    meter = CallerUsageMeter()
    for n in range(MAX_METERED_CALLERS + 10):
        meter.charge(f"c{n}", 10.0, weight=1.0, now=n * 0.1)
    assert len(meter) < 1000


def max_queue_with(**changes):
    values = {"ttft_s": 0.4, "service_s": 0.1, "priority": 9, "excess": 0.0}
    values |= {"pressure": 1.0, "waste_aversion": 0.0} | changes
    return max_queue_s(**values)


def test_under_pressure_heavy_callers_and_low_priorities_may_queue_less():
    assert max_queue_with(priority=0) < max_queue_with(priority=9)
    assert max_queue_with(excess=8.0) < max_queue_with(excess=1.0)
    assert max_queue_with(excess=8.0, priority=0, pressure=0.0) == max_queue_with()


def test_a_request_that_cannot_meet_the_target_is_refused_at_any_pressure():
    assert max_queue_with(service_s=0.5, pressure=0.0) < 0
