"""What the stand-in of the users' workers keeps of requests, and what goes wrong at it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any


@dataclass(kw_only=True)
class Run:
    """One run of a request; ``ended_at`` is None while the worker is at work on it.

    ``peer_port`` is the port that its connection came from. ``ends_empty`` says that the worker
    ended the body before it wrote anything to it, as if the answer were whole.
    """

    request_id: str
    path: str
    body: bytes
    started_at: float
    ended_at: float | None = None
    peer_port: int = 0
    ends_empty: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request that came, and when; ``rest_s`` is what the answer asked for as rest."""

    request_id: str
    at: float
    rest_s: float = 0.0


LAST_CHUNK = b"0\r\n"


@dataclass(frozen=True, kw_only=True, slots=True)
class EndlessAnswer:
    """An answer that begins and then goes on for ever; ``head`` says that it has the usual head."""

    head: bool
    first: bytes
    repeated: bytes

    @property
    def ends_empty(self) -> bool:
        """Whether the body is complete, and empty; what goes on for ever are its trailers."""
        return self.head and self.first == LAST_CHUNK


ENDLESS_ANSWERS = (
    EndlessAnswer(head=False, first=b"HTTP/1.1 200 OK\r\n", repeated=b"A: b\r\n"),
    EndlessAnswer(head=False, first=b"HTTP/1.1 200 ", repeated=b"O"),
    EndlessAnswer(head=False, first=b"", repeated=b"HTTP/1.1 100 Continue\r\n\r\n"),
    EndlessAnswer(head=True, first=b"", repeated=b"0"),
    EndlessAnswer(head=True, first=b"2;", repeated=b"x"),
    EndlessAnswer(head=True, first=LAST_CHUNK, repeated=b"A: b\r\n"),
)


@dataclass(kw_only=True)
class WorkerFaults:
    """What goes wrong at the worker at the moment; numbers count events of a stream.

    ``is_unframed`` has answers bear neither a length nor chunks, and end with their connection;
    ``sends_chunks`` has whole answers come in chunks.
    ``is_leaving`` has all answers say so; ``rest_s`` is what refusals ask for as rest, if not 0.
    ``limit`` is what all answers name as the limit, if anything. ``health_status`` is what the
    health path answers, after ``health_wait_s``. ``copies_answers_s`` are the seconds after which
    a whole answer to a request is sent once more, in the slot of the next one; None for never.
    ``endless`` is what it answers to every call. ``status_text`` stands in place of the status of
    all answers to requests and prompts, ``control_status_text`` of those to calls for room.
    """

    is_full: bool = False
    has_no_room: bool = False
    status: int = 0
    status_text: str = ""
    control_status_text: str = ""
    is_silent: bool = False
    resets_before_answer: bool = False
    resets_after_events: int | None = None
    ends_inside_event: int | None = None
    hangs_after_events: int | None = None
    repeats_event: int | None = None
    sends_surplus_first: bool = False
    lacks_stamp: bool = False
    handles_lapse: bool = False
    copies_answers_s: float | None = None
    endless: EndlessAnswer | None = None
    cuts_body: bool = False
    is_unframed: bool = False
    sends_chunks: bool = False
    is_leaving: bool = False
    rest_s: float = 0.0
    limit: str = ""
    health_status: int = 200
    health_wait_s: float = 0.0


def sound_but(faults: WorkerFaults, **changes: Any) -> WorkerFaults:
    """Nothing wrong but for some changes; a worker that leaves or is in need goes on saying so."""
    return replace(WorkerFaults(is_leaving=faults.is_leaving, limit=faults.limit), **changes)
