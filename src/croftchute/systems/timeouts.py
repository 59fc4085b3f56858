"""Timeouts, poll intervals, Retry-After values and hold sizes of requests to workers."""

from __future__ import annotations

from enum import StrEnum

from croftchute.tables.routing import Route


class ReturnMode(StrEnum):
    """Which requests poll for decode memory most often while it is short.

    ``returned_first`` prefers callers that came back after a refusal, ``in_time_first`` prefers
    requests that can still meet their target.
    """

    RETURNED_FIRST = "returned_first"
    IN_TIME_FIRST = "in_time_first"


class HoldMode(StrEnum):
    """Size of a hold, the decode memory that a worker reserves for a stream before it starts.

    ``likely`` covers the likely output, ``ample`` more than that.
    """

    LIKELY = "likely"
    AMPLE = "ample"


REPEAT_SHARE_OF_TARGET = 0.6
"""Share of the target after which a repeatable call is sent to another worker: two usual attempts
then fit into the target."""

FIRST_EVENT_SHARE_OF_TARGET = 0.6
"""Share of the target that a decode worker has for its first event if the stream can be resumed
elsewhere: the rest suffices for another worker to read the prompt."""

TYPICAL_ANSWER_MULTIPLE = 3.0
"""Multiple of a worker's usual answer time that a repeatable call may take, if that is longer than
the share of the target."""

DECODE_READING_MULTIPLE = 4.0
"""Multiple of the predicted reading time that a decode worker may take for a prompt it reads
itself: it may read other prompts first."""

PREFILL_SHARE_OF_TARGET = 0.7
"""Share of the target that a prefill call may take: the rest is just enough for the decode worker
to read the prompt itself."""

PREFILL_RETRY_SHARE_OF_TARGET = 0.5
"""Share of the target within which a second prefill worker may be asked: reading the prompt fits
into the rest."""

TARGET_GAP_MULTIPLE = 3.0
"""Multiple of the route's target gap after which a stream counts as stuck. Callers give up after
eight."""

MIN_GAP_TIMEOUT_S = 0.6
"""Shortest gap after which a stream counts as stuck: most preempted streams go on within it."""

PREFILL_FULL_TOKENS = 12_000
"""Prompt tokens in flight at which a prefill worker counts as fully loaded: three prompts."""

USUAL_GAP_MULTIPLE = 10.0
"""Multiple of a worker's usual gap after which a stream there counts as stuck. A stream still goes
on within it if the engine suddenly runs eight times slower."""

MIN_CALLER_GAP_S = 2.0
"""Gap between events that callers of any route tolerate."""

CALLER_GAP_TARGETS = 4.0
"""Multiple of the target that callers tolerate as a gap, where that is longer."""

CALLER_GAP_MULTIPLE = 8.0
"""Multiple of the target gap that callers tolerate, where that is longer."""

MAX_CALLER_GAP_SHARE = 0.75
"""Share of the gap that callers tolerate after which a stream is resumed elsewhere, however slow
its worker is. The rest is for a hold there and the next event."""

CONNECT_TIMEOUT_S = 0.25
"""Timeout of a connection attempt: many round trips, and a small part of any target."""

MAX_UNREPEATABLE_IDLE_S = 0.25
"""Longest idle time of a pooled connection that may carry a request that must not be repeated: an
older one may be dead without notice. The stream that follows a hold request still reuses its
connection; other requests pay a round trip for a new one."""

FIRST_TRY_MIN_TIME_SHARE = 0.9
"""Share of the route's timeout that a caller has left on its first try; one with less came back
after a refusal."""

MIN_RETRY_AFTER_S = 0.1

DEFAULT_RETRY_AFTER_S = 1.0
"""Retry-After in seconds if no engine was full: a crashed worker or an incomplete worker list
mostly recovers within a second or two."""

RETRY_AFTER_MEAN_WAITS = 4.0
"""Mean waits for room until a caller should come back. With exponential waits, all but one in fifty
requests find room within that time, so the next try is likely to succeed."""

MAX_RETRY_AFTER_SHARE = 0.32
"""Largest share of the caller's remaining time for Retry-After: callers wait for at most a third of
it."""

RETRY_AFTER_JITTER = 0.1
"""Share of Retry-After over which callers are spread, so that they do not return together."""

RESUME_WAIT_S = 2.0
"""Seconds that an interrupted stream waits for room elsewhere: callers tolerate gaps of 2 s and
more."""

FIRST_TRY_POLL_INTERVAL_S = 0.1
"""Seconds between two polls for room by a first try, about the time between two streams that end at
a full worker."""

RETURN_POLL_INTERVAL_S = 0.04
"""Poll interval of a caller that came back and of an interrupted stream, which go first."""

IN_TIME_POLL_INTERVAL_S = 0.05
"""Poll interval of a request that can still meet its target, in the mode that prefers these."""

LATE_POLL_INTERVAL_S = 0.2
"""Poll interval of a late request in that mode: it gets room that no request in time asked for."""

HOLD_OUTPUT_FACTORS = {HoldMode.LIKELY: 0.9, HoldMode.AMPLE: 1.4}
"""Factor on the expected output that a hold covers. Half of all answers are longer than expected; a
stream that outgrows its hold may be preempted, and its prompt is then read again."""

NEVER_FITS_RETRY_AFTER_S = 60.0
"""Retry-After in seconds for a prompt that fits no engine: only the operator's next configuration
can change that, and none comes within the time that callers wait."""

CANNOT_CONTINUE_RETRY_AFTER_S = 60.0
"""Retry-After in seconds for the rest of a stream that no worker may continue: a caller does better
to start over than to wait for a worker of the version that began it."""

MIN_STREAM_AGE_LIMIT_S = 60.0
"""Least age in seconds that a stream is believed to have when a caller takes it up."""

STREAM_AGE_LIMIT_TIMEOUTS = 4.0
"""The same in tries of the route's longest time: callers take a stream up a few times."""

FULL_WORKER_BACKOFF_S = 0.03
"""Seconds for which a worker that had no room is not asked again."""

STAGE_ORDER_TIMEOUT_S = 1.0
"""Timeout of an order to a worker to change its stage."""

REPORT_TIMEOUT_S = 0.15
"""Timeout of a query for a worker's report, which needs no free slot either."""

HOLD_TIMEOUT_S = 0.08
"""Timeout of a hold request: some round trips, as the worker needs no free slot to answer it."""


PREFIX_LIST_TIMEOUT_S = 0.1
"""Timeout of a query for a worker's cached prompt parts: less than it takes to read a prompt again.
"""


def answer_timeout_s(route: Route, *, typical_s: float, time_left_s: float) -> float:
    """Return how long a worker may take before a repeatable request goes to another one."""
    wanted = max(REPEAT_SHARE_OF_TARGET * route.target_s, TYPICAL_ANSWER_MULTIPLE * typical_s)
    return min(wanted, time_left_s)


def first_event_timeout_s(route: Route, *, time_left_s: float) -> float:
    """Return how long the first event of a stream that can be resumed elsewhere may take."""
    return min(FIRST_EVENT_SHARE_OF_TARGET * route.target_s, time_left_s)


def decode_reading_timeout_s(route: Route, *, predicted_s: float, time_left_s: float) -> float:
    """Return how long a decode worker may take to read a prompt itself.

    The worker has just granted a hold, so it is alive. Giving it up would have the prompt read a
    second time.
    """
    wanted = max(
        FIRST_EVENT_SHARE_OF_TARGET * route.target_s, DECODE_READING_MULTIPLE * predicted_s
    )
    return min(wanted, time_left_s)


def prefill_timeout_s(route: Route, *, time_left_s: float) -> float:
    """Return how long a prefill call may take before the decode worker reads the prompt itself.

    Reading at the decode worker slows down all its other streams, so the prefill call gets most of
    the target.
    """
    return min(PREFILL_SHARE_OF_TARGET * route.target_s, time_left_s)


def prefill_retry_limit_s(route: Route) -> float:
    """Return the age of a request up to which it may be read at a second prefill worker."""
    return PREFILL_RETRY_SHARE_OF_TARGET * route.target_s


def gap_timeout_s(route: Route, *, time_left_s: float, usual_gap_s: float = 0.0) -> float:
    """Return how long a stream that can be resumed may send nothing before it is resumed elsewhere.

    ``usual_gap_s`` is the usual gap between events at its worker, 0 if it is not known.
    """
    caller_gap_s = max(
        MIN_CALLER_GAP_S,
        CALLER_GAP_TARGETS * route.target_s,
        CALLER_GAP_MULTIPLE * route.target_gap_s,
    )
    by_usual_gap_s = min(USUAL_GAP_MULTIPLE * usual_gap_s, MAX_CALLER_GAP_SHARE * caller_gap_s)
    return min(
        max(MIN_GAP_TIMEOUT_S, TARGET_GAP_MULTIPLE * route.target_gap_s, by_usual_gap_s),
        time_left_s,
    )


PREDICTED_RETRY_AFTER_JITTER = 0.5
"""Share of a predicted wait over which returns are spread: callers that were refused together would
otherwise return together."""


def stream_age_limit_s(route: Route) -> float:
    """Return how long ago a stream that a caller takes up may have begun, in seconds."""
    return max(MIN_STREAM_AGE_LIMIT_S, STREAM_AGE_LIMIT_TIMEOUTS * route.timeout_s)


def retry_after(time_left_s: float, *, mean_wait_s: float | None, jitter: float) -> float:
    """Return the Retry-After in seconds, after which a refused caller is likely to find room.

    ``mean_wait_s`` is the mean wait for room, or None if the request was refused for another
    reason. ``jitter`` is a random number between 0 and 1. The result leaves the caller time for the
    next try.

    >>> retry_after(14.0, mean_wait_s=0.5, jitter=0.0)
    2.0
    >>> retry_after(14.0, mean_wait_s=5.0, jitter=0.5)
    4.256
    >>> retry_after(1.5, mean_wait_s=None, jitter=0.0)
    0.48
    """
    wanted = DEFAULT_RETRY_AFTER_S if mean_wait_s is None else RETRY_AFTER_MEAN_WAITS * mean_wait_s
    longest = min(wanted, MAX_RETRY_AFTER_SHARE * time_left_s)
    return round(max(MIN_RETRY_AFTER_S, longest * (1.0 - RETRY_AFTER_JITTER * jitter)), 3)


def predicted_retry_after(wait_s: float, *, jitter: float) -> float:
    """Return the Retry-After for a caller that will find room in ``wait_s``, with jitter.

    >>> predicted_retry_after(0.5, jitter=0.0), predicted_retry_after(0.5, jitter=1.0)
    (0.5, 0.75)
    """
    return round(max(MIN_RETRY_AFTER_S, wait_s * (1.0 + PREDICTED_RETRY_AFTER_JITTER * jitter)), 3)


def room_poll_interval_s(
    route: Route, mode: ReturnMode, *, since_first_try_s: float, is_started: bool
) -> float:
    """Return the seconds between two polls for room.

    ``since_first_try_s`` is the time since the caller's first try. Streams that have begun and were
    interrupted poll most often. Of the others, ``mode`` decides which poll more often: callers that
    came back, since they cannot come again, or requests that can still meet their target.
    """
    if is_started:
        return RETURN_POLL_INTERVAL_S
    if mode is ReturnMode.RETURNED_FIRST:
        is_returning = since_first_try_s > (1.0 - FIRST_TRY_MIN_TIME_SHARE) * route.timeout_s
        return RETURN_POLL_INTERVAL_S if is_returning else FIRST_TRY_POLL_INTERVAL_S
    return LATE_POLL_INTERVAL_S if since_first_try_s >= route.target_s else IN_TIME_POLL_INTERVAL_S


def can_ever_fit(prompt_tokens: int, kv_tokens: int) -> bool:
    """Return whether an empty engine has the memory for a prompt and one token of its answer.

    >>> can_ever_fit(45_000, 45_991), can_ever_fit(47_020, 45_991)
    (True, False)
    """
    return prompt_tokens < kv_tokens


def hold_tokens(
    prompt_tokens: int,
    output_tokens: int,
    expected_output: int | None,
    kv_tokens: int,
    mode: HoldMode = HoldMode.LIKELY,
) -> int:
    """Return how many tokens of decode memory to reserve for a prompt and its likely output.

    No engine grants more than it has, ``kv_tokens``: a prompt that fits without its whole output
    reserves an entire engine.

    >>> hold_tokens(5000, 800, 200, 45_991)
    5180
    >>> hold_tokens(5000, 800, 200, 45_991, HoldMode.AMPLE)
    5280
    >>> hold_tokens(45_500, 800, None, 45_991)
    45991
    """
    output = output_tokens
    if expected_output is not None:
        output = min(output_tokens, int(HOLD_OUTPUT_FACTORS[mode] * expected_output))
    return min(prompt_tokens + output, kv_tokens)
