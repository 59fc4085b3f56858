import random

from croftchute.systems.retry_budget import RetryLimits, RetryWindow

LIMITS = RetryLimits(ratio=0.2, window_s=10.0, slack=56.0)


def test_the_shares_of_all_boxes_never_exceed_the_fleets_budget():
    rng = random.Random(11)
    boxes = 8
    windows = [RetryWindow(limits=LIMITS) for _ in range(boxes)]
    requests, retries = [], []
    now = 0.0
    for _ in range(4000):
        now += rng.expovariate(40.0)
        window = rng.choice(windows)
        window.note_request(now)
        requests.append(now)
        if rng.random() < 0.8 and window.spend(now, share=1 / boxes):
            retries.append(now)
        recent_requests = sum(at > now - LIMITS.window_s for at in requests)
        recent_retries = sum(at > now - LIMITS.window_s for at in retries)
        assert recent_retries <= LIMITS.ratio * recent_requests + LIMITS.slack


def test_budget_is_restored_after_the_window():
    window = RetryWindow(limits=RetryLimits(ratio=0.0, window_s=10.0, slack=2.0))
    assert window.spend(0.0, share=1.0)
    assert not window.spend(1.0, share=1.0)
    assert window.spend(10.5, share=1.0)


def test_share_of_a_box_shrinks_with_more_boxes():
    window = RetryWindow(limits=LIMITS)
    assert window.allowed(0.0, share=1 / 16) < window.allowed(0.0, share=1 / 4)


def test_a_request_that_is_noted_late_expires_like_the_others():
    """Guards against a request that another box has not served and that then counts for longer."""
    window = RetryWindow(limits=RetryLimits(ratio=1.0, window_s=10.0, slack=0.0))
    for at in (5.0, 8.0, 1.0):
        window.note_request(at)
    assert window.allowed(10.9, share=1.0) == window.allowed(9.0, share=1.0)
    assert list(window.request_times) == [1.0, 5.0, 8.0]
    window.allowed(11.5, share=1.0)
    assert list(window.request_times) == [5.0, 8.0]
