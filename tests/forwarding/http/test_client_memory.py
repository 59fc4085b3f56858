"""The release of connections above the bound on what a box holds for its clients."""

from croftchute.forwarding.http.client_memory import (
    RELEASE_PAUSE_S,
    ClientMemory,
    ReleaseCause,
)
from croftchute.forwarding.http.http_server import HttpIngress, refuse_without_room
from croftchute.systems.memory_account import ACCOUNT_MEMORY_SHARE, account_bound
from croftchute.tables.routing import IngressLimits

MEMORY_MB = 4.0
BOUND = account_bound(MEMORY_MB)


class Holder:
    def __init__(self, size, *, cause=ReleaseCause.REQUEST_HALF_READ):
        self.held_bytes = size
        self.cause = cause
        self.released = 0

    def release_memory(self):
        if self.cause is None:
            return None
        self.released += 1
        self.held_bytes = 0
        return self.cause


def memory(holders, released=None):
    made = ClientMemory(
        memory_mb=MEMORY_MB,
        clock=lambda: 0.0,
        on_release=(released if released is not None else []).append,
    )
    return made, [made.open(holder) for holder in holders]


def test_the_largest_is_released_and_not_the_one_that_came_last():
    released = []
    large, small = Holder(BOUND), Holder(1000)
    made, numbers = memory([large, small], released)
    made.note(numbers[0])
    assert released == []
    made.note(numbers[1])
    assert (large.released, small.released) == (1, 0)
    assert [(each.cause, each.held_bytes) for each in released] == [
        (ReleaseCause.REQUEST_HALF_READ, BOUND)
    ]
    assert made.account.total == 1000


def test_what_cannot_be_released_is_passed_over():
    """Guards against giving up a request that a worker may run."""
    served, small = Holder(BOUND, cause=None), Holder(1000)
    made, numbers = memory([served, small])
    for number in numbers:
        made.note(number)
    assert small.released == 1


def test_sizes_are_taken_anew_before_anything_is_released():
    """Guards against a release for bytes that a transport has sent in the meantime."""
    first, second = Holder(BOUND), Holder(1000)
    made, numbers = memory([first, second])
    made.note(numbers[0])
    first.held_bytes = 10
    made.note(numbers[1])
    assert (first.released, second.released) == (0, 0)


def test_a_release_that_changes_another_size_does_not_begin_a_second_one():
    class Noting(Holder):
        def release_memory(self):
            cause = super().release_memory()
            made.note(numbers[1])
            return cause

    first, second = Noting(BOUND), Holder(BOUND // 2)
    made, numbers = memory([first, second])
    for number in numbers:
        made.note(number)
    assert (first.released, second.released) == (1, 0)


def test_a_lower_bound_releases_at_once():
    holders = [Holder(BOUND // 4) for _ in range(3)]
    made, numbers = memory(holders)
    for number in numbers:
        made.note(number)
    made.set_memory(MEMORY_MB / 2)
    assert sum(holder.released for holder in holders) >= 1
    assert made.account.total <= MEMORY_MB / 2 * ACCOUNT_MEMORY_SHARE * 1_000_000


def test_without_known_memory_the_machine_s_is_the_bound():
    assert ClientMemory(memory_mb=0.0, clock=lambda: 0.0).account.bound > BOUND


def test_the_peak_is_the_highest_total_since_it_was_taken():
    holder = Holder(500)
    made, (number,) = memory([holder])
    made.note(number)
    holder.held_bytes = 100
    made.note(number)
    assert (made.take_peak(), made.take_peak()) == (500, 100)


def test_all_connections_are_looked_at_now_and_then_where_none_may_be_released():
    """Guards against looking through all of them for each byte that comes."""
    now = 0.0
    looks = []

    class Served(Holder):
        def release_memory(self):
            looks.append(now)
            return super().release_memory()

    made = ClientMemory(memory_mb=MEMORY_MB, clock=lambda: now)
    number = made.open(Served(2 * BOUND, cause=None))
    for step in range(100):
        now = step * RELEASE_PAUSE_S / 10
        made.note(number)
    assert 5 <= len(looks) <= 15


def test_room_for_a_connection_is_found_without_looking_at_the_others():
    ingress = HttpIngress(handler=refuse_without_room, limits=IngressLimits, max_connections=3)

    class Unread:
        def __getattr__(self, name):
            raise AssertionError(f"{name} was asked for")

    ingress.connections = {Unread(), Unread()}
    assert ingress.make_room(0)
