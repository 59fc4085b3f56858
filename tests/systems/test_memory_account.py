"""What a box holds for its clients in all, and who is released first."""

import pytest

from croftchute.systems.memory_account import (
    SERVED_SHARE,
    SMALL_REQUEST_BYTES,
    MemoryAccount,
    account_bound,
)

MB = 1_000_000
BOUND = 40 * MB


def account(sizes, *, now=0.0):
    made = MemoryAccount(bound=BOUND)
    for client, size in sizes.items():
        made.open(client, now)
        made.set_size(client, size)
    return made


def test_the_total_follows_each_client():
    made = account({1: 10, 2: 20})
    made.set_size(1, 5)
    made.close(2)
    made.set_size(2, 100)
    made.note_moved(2, 100, 1.0)
    assert (made.total, len(made), made.size(1), made.size(2)) == (5, 1, 5, 0)


def test_a_client_that_stopped_is_released_before_one_that_moves():
    """Guards against closing the slow honest client, or the one that came last."""
    made = account({1: 4 * MB, 2: 4 * MB, 3: 1000})
    made.note_moved(1, 4 * MB, 0.0)
    for second in range(10):
        made.note_moved(2, 400_000, float(second))
    made.note_moved(3, 1000, 10.0)
    assert made.by_rank(10.0) == [1, 2, 3]


def test_a_trickle_of_bytes_does_not_protect_what_holds_much():
    made = account({1: 4 * MB, 2: 100_000})
    for second in range(20):
        made.note_moved(1, 1, float(second))
        made.note_moved(2, 50_000, float(second))
    assert made.by_rank(20.0) == [1, 2]


def test_of_clients_that_stand_still_the_largest_is_released_first():
    assert account({1: 10, 2: 3000, 3: 200}).by_rank(5.0) == [2, 3, 1]


def test_large_requests_are_served_up_to_a_share_and_small_ones_always():
    """Guards against requests at workers that leave no room for anything else."""
    made = account({})
    made.served = int(BOUND * SERVED_SHARE) - MB
    assert made.admits(MB) and not made.admits(MB + 1)
    made.served = 2 * BOUND
    assert made.admits(SMALL_REQUEST_BYTES) and not made.admits(SMALL_REQUEST_BYTES + 1)


def test_a_release_makes_more_room_than_the_last_bytes_took():
    made = account({1: BOUND})
    assert not made.exceeds_bound and not made.is_low_enough
    made.set_size(1, BOUND // 2)
    assert made.is_low_enough


def test_the_bound_is_a_share_of_the_memory():
    assert account_bound(100.0, 0.5) == 2 * account_bound(100.0, 0.25) == 50_000_000


@pytest.mark.parametrize("memory_mb", [0.0, -1.0, float("nan"), float("inf")])
def test_a_bound_needs_an_amount_of_memory(memory_mb):
    with pytest.raises(ValueError, match="not an amount"):
        account_bound(memory_mb)
