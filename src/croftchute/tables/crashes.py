"""Records of requests under which workers crashed, as boxes report them to each other."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

DIGEST_BYTES = 16
"""Length of a request's digest, long enough to rule out accidental collisions."""

MAX_PART_CHARS = 32
"""Longest id of a prompt's part that is used as it is."""


def request_digest(*, caller: str, method: str, host: str, target: str, body: bytes) -> str:
    """Return the digest shared by all attempts of a request at any box: 32 hex digits.

    ``caller`` is the calling organisation. Network addresses are left out, because one caller's
    requests come from several halls.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES, person=b"croftchute-req")
    for text in (caller, method, host, target):
        digest.update(text.encode() + b"\n")
    digest.update(body)
    return digest.hexdigest()


def part_key(part: str) -> str:
    """Return the name by which boxes know a part of a prompt: its id if that is short and plain.

    Ids are hexadecimal; others, and long ones, are replaced by their digest.

    >>> part_key("5C1E07A2"), len(part_key("a part of its own kind"))
    ('5c1e07a2', 32)
    """
    folded = part.lower()
    if len(folded) <= MAX_PART_CHARS and folded.isascii() and folded.isalnum():
        return folded
    digest = hashlib.blake2b(folded.encode(), digest_size=DIGEST_BYTES, person=b"croftchute-part")
    return digest.hexdigest()


def reading_keys(parts: Iterable[str]) -> tuple[str, ...]:
    """Return the names of parts as prefill workers read them, which may be what crashes workers.

    >>> reading_keys(["5c1e"])
    ('5c1e-read',)
    """
    return tuple(f"{part}-read" for part in parts)


def request_number(digest: str) -> int:
    """Return a number by which the requests under one part are told apart: 32 bits of a digest."""
    return int(digest[:8], 16)


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashNotice:
    """A worker instance that crashed under a request, or a success of the request.

    ``digest`` identifies the request; ``life`` is the instance, empty for a success; ``age_s`` is
    how long ago it was.
    """

    digest: str
    life: str
    age_s: float

    @property
    def is_success(self) -> bool:
        """Whether the notice reports a success of the request."""
        return not self.life


@dataclass(frozen=True, kw_only=True, slots=True)
class PartNotice:
    """A worker instance that crashed under a part of a prompt, as boxes report it to each other.

    ``life`` is the instance, ``request`` a number of the request that had the part, ``age_s`` how
    long ago it was. ``is_cleared``: an answer to the part was written later, so it is not to blame.
    """

    part: str
    life: str
    request: int
    age_s: float
    is_cleared: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredPartCrash:
    """A crash in the store: its Unix time, its request, and the parts that are cleared of it."""

    at: float
    request: int
    cleared: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class PartEntry:
    """The store's entry for parts that are refused together: Unix times, crashes by instance."""

    parts: tuple[str, ...]
    crash_by_life: dict[str, StoredPartCrash]
    tried_at: tuple[float, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashEntry:
    """The store's entry for a refused request: Unix times of crashes by worker instance.

    ``succeeded_at`` and ``tried_at`` are the Unix times of its latest success and of its latest
    trial while refused, 0 for none.
    """

    ended_at_by_life: dict[str, float]
    succeeded_at: float = 0.0
    tried_at: float = 0.0
