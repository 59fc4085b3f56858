"""How long to wait for what: times after which another worker is worth its price."""

from __future__ import annotations

from enum import StrEnum

from croftchute.tables.routing import Route


class ReturnMode(StrEnum):
    """Who goes first where room is short: callers who came back, or those still in time."""

    RETURNED_FIRST = "returned_first"
    IN_TIME_FIRST = "in_time_first"


class HoldMode(StrEnum):
    """How much memory is asked for ahead of a stream: what is likely, or with some to spare."""

    LIKELY = "likely"
    AMPLE = "ample"


REPEAT_SHARE_OF_TARGET = 0.6
"""Share of the target after which a repeatable call goes to another worker: two usual tries
then fit into the target."""

FIRST_EVENT_SHARE_OF_TARGET = 0.6
"""Share of the target that a decode worker's first event is given where it could be moved:
what is left is enough for another one to read the prompt."""

TYPICAL_ANSWER_MULTIPLE = 3.0
"""Usual times of a worker that a repeatable call is given, where that is longer."""

DECODE_READING_MULTIPLE = 4.0
"""Predicted times of its own reading that a decode worker is given: others may be read first."""

PREFILL_SHARE_OF_TARGET = 0.7
"""Share of the target that a prefill call is given: its decode worker can just still read the
prompt in time."""

PREFILL_RETRY_SHARE_OF_TARGET = 0.5
"""Share of the target within which a second prefill worker is asked; reading fits the rest."""

TARGET_GAP_MULTIPLE = 3.0
"""Longest good pauses after which a stream is taken as stuck: callers bear eight."""

MIN_GAP_TIMEOUT_S = 0.6
"""Seconds of pause that are always borne: a preempted stream mostly goes on within them."""

PREFILL_FULL_TOKENS = 12_000
"""Prompt tokens in flight at which a prefill worker costs as much as a full one: three prompts."""

USUAL_GAP_MULTIPLE = 10.0
"""Usual pauses of a worker after which a stream there is taken as stuck: an engine that turns eight
times slower at once still goes on within them."""

MIN_CALLER_GAP_S = 2.0
"""Seconds of pause that callers bear at least."""

CALLER_GAP_TARGETS = 4.0
"""Targets that callers bear as a pause, where that is longer."""

CALLER_GAP_MULTIPLE = 8.0
"""Longest good pauses that callers bear, where that is longer."""

MAX_CALLER_GAP_SHARE = 0.75
"""Share of the pause that callers bear after which a stream is moved, however slow its worker: what
is left is for room elsewhere and the next event."""

CONNECT_TIMEOUT_S = 0.25
"""Seconds for a connection: many round trips, and little of any target."""

MAX_ONCE_IDLE_S = 0.25
"""Seconds since its last answer in which a kept connection may take a request that can be sent
once: an older one may have gone silent meanwhile. The stream after an ask for room still takes its
connection; others pay a round trip for a new one."""

FIRST_TRY_MIN_TIME_SHARE = 0.9
"""Share of the route's time below which a caller must have tried before."""

MIN_RETRY_AFTER_S = 0.1
"""Seconds after which a caller is asked back at the soonest."""

DEFAULT_RETRY_AFTER_S = 1.0
"""Seconds after which a caller is asked back where no engine was full: a worker that crashed, or a
list that is short for a moment, mostly takes a second or two."""

RETRY_AFTER_MEAN_WAITS = 4.0
"""Mean times until room comes after which a caller is asked back: of requests that wait so long all
but one in fifty have found room (exponential), so that the next try need not fail."""

MAX_RETRY_AFTER_SHARE = 0.32
"""Share of the caller's time left after which it is asked back at the latest: callers keep to at
most a third of it."""

RETRY_AFTER_JITTER = 0.1
"""Share of that time over which callers are jitter, so that they do not return together."""

RESUME_WAIT_S = 2.0
"""Seconds that a stream which has begun waits for room: callers bear pauses of 2 s and more."""

FIRST_TRY_POLL_INTERVAL_S = 0.1
"""Seconds between two asks for room of a first try: streams end as often at a full worker."""

RETURN_POLL_INTERVAL_S = 0.04
"""The same of a caller who came back, or a stream that was cut: they go first."""

IN_TIME_POLL_INTERVAL_S = 0.05
"""The same of a request that can still be served in time, where these go first."""

LATE_POLL_INTERVAL_S = 0.2
"""The same of one that is late already: it takes room that nobody in time asked for."""

HOLD_OUTPUT_FACTORS = {HoldMode.LIKELY: 0.9, HoldMode.AMPLE: 1.4}
"""Share of the likely output that a hold covers. Half of all answers are
longer than their hint; what outgrows its hold may be preempted, and its prompt is read again."""

NEVER_FITS_RETRY_AFTER_S = 60.0
"""Seconds after which a caller may ask again whose prompt no engine can hold: only the operator's
next configuration can change that, and none comes within the time that callers wait."""

FULL_WORKER_BACKOFF_S = 0.03
"""Seconds for which a worker that had no room is not asked again."""

ORDER_TIMEOUT_S = 1.0
"""Seconds for a worker's answer to an order."""

HOLD_TIMEOUT_S = 0.08
"""Seconds for a worker's answer to an ask for room: some round trips; it needs no slot there."""


PREFIX_LIST_TIMEOUT_S = 0.1
"""Seconds for a worker's list of kept prompt parts: less than reading a prompt again takes."""


def answer_timeout_s(route: Route, *, typical_s: float, time_left_s: float) -> float:
    """How long a worker may take before a repeatable request is put to another one."""
    wanted = max(REPEAT_SHARE_OF_TARGET * route.target_s, TYPICAL_ANSWER_MULTIPLE * typical_s)
    return min(wanted, time_left_s)


def first_event_timeout_s(route: Route, *, time_left_s: float) -> float:
    """How long a decode worker may take to its first event, if the stream may be resumed."""
    return min(FIRST_EVENT_SHARE_OF_TARGET * route.target_s, time_left_s)


def decode_reading_timeout_s(route: Route, *, predicted_s: float, time_left_s: float) -> float:
    """How long a decode worker may take to read a prompt itself.

    It has just granted room, so it lives; giving it up would have the prompt read a second time.
    """
    wanted = max(
        FIRST_EVENT_SHARE_OF_TARGET * route.target_s, DECODE_READING_MULTIPLE * predicted_s
    )
    return min(wanted, time_left_s)


def prefill_timeout_s(route: Route, *, time_left_s: float) -> float:
    """How long a prefill call may take before the decode worker reads the prompt itself.

    That slows all other streams of the decode worker, so nearly all of the target is given.
    """
    return min(PREFILL_SHARE_OF_TARGET * route.target_s, time_left_s)


def prefill_retry_limit_s(route: Route) -> float:
    """How long after its arrival a request may still be read at a second prefill worker."""
    return PREFILL_RETRY_SHARE_OF_TARGET * route.target_s


def gap_timeout_s(route: Route, *, time_left_s: float, usual_gap_s: float = 0.0) -> float:
    """How long a stream that may be resumed may pause before it is moved.

    ``usual_gap_s`` is the usual pause at its worker, 0 if it is not known.
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
"""Share of a predicted wait over which returns are jitter: those that were refused together would
otherwise come back together."""


def retry_after(time_left_s: float, *, mean_wait_s: float | None, jitter: float) -> float:
    """When a refused caller should come back: once it will likely be served, if it can wait.

    ``mean_wait_s`` is the mean time until room comes; None if it was not room that lacked.
    ``jitter`` lies between 0 and 1.

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
    """When a caller should come back for whom there will be room in ``wait_s``: not all at once.

    >>> predicted_retry_after(0.5, jitter=0.0), predicted_retry_after(0.5, jitter=1.0)
    (0.5, 0.75)
    """
    return round(max(MIN_RETRY_AFTER_S, wait_s * (1.0 + PREDICTED_RETRY_AFTER_JITTER * jitter)), 3)


def room_poll_interval_s(
    route: Route, mode: ReturnMode, *, since_first_try_s: float, is_begun: bool
) -> float:
    """How often to ask for room; ``since_first_try_s`` is the time since the caller's first try.

    Streams that were cut ask most often. Of the others, either those who came back ask more often
    than first tries, since they cannot come again, or those who can still be served in time do.
    """
    if is_begun:
        return RETURN_POLL_INTERVAL_S
    if mode is ReturnMode.RETURNED_FIRST:
        has_come_back = since_first_try_s > (1.0 - FIRST_TRY_MIN_TIME_SHARE) * route.timeout_s
        return RETURN_POLL_INTERVAL_S if has_come_back else FIRST_TRY_POLL_INTERVAL_S
    return LATE_POLL_INTERVAL_S if since_first_try_s >= route.target_s else IN_TIME_POLL_INTERVAL_S


def can_ever_fit(prompt_tokens: int, kv_tokens: int) -> bool:
    """Whether an empty engine has the memory for a prompt and one token of its answer.

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
    """How much decode memory to reserve: the prompt, and what the answer will likely add.

    No engine grants more than it has, ``kv_tokens``; what fits by less than its answer is reserved
    a whole engine.

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
