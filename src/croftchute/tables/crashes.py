"""Rows about requests under which workers ended, as boxes tell them to one another."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

DIGEST_BYTES = 16
"""Length of a request's digest: no two requests that are remembered share one by chance."""


def request_digest(*, caller: str, method: str, host: str, target: str, body: bytes) -> str:
    """What all tries of one request have in common, at whatever box: 32 hexadecimal digits.

    ``caller`` is the organisation that called. Addresses say nothing: one caller's come from
    several halls.
    """
    found = hashlib.blake2b(digest_size=DIGEST_BYTES, person=b"croftchute-req")
    for text in (caller, method, host, target):
        found.update(text.encode() + b"\n")
    found.update(body)
    return found.hexdigest()


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashNotice:
    """A worker's life that ended under a request, or, without a life, a good end of the request.

    ``digest`` is what all tries of the request have in common; ``age_s`` is how long ago it was.
    """

    digest: str
    life: str
    age_s: float

    @property
    def is_success(self) -> bool:
        """Whether the request ran to a good end then."""
        return not self.life


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashEntry:
    """What the platform's store keeps of a refused request: Unix times by life that ended."""

    ended_at_by_life: dict[str, float]
