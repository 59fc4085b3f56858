"""Rows about organisations: their keys, their limits, and which of them a request belongs to."""

from __future__ import annotations

import hashlib
import secrets
from dataclasses import dataclass, field
from enum import StrEnum

DIGEST_BYTES = 16
"""Length of a key's digest: two of 27,000 organisations' keys never share one by chance."""

FINGERPRINT_BYTES = 4
"""Length of what logs show of a key: enough to tell keys apart, too short to try keys against."""

_SECRET = secrets.token_bytes(32)


def digest_key(key: bytes) -> bytes:
    """What stands for a key in tables; means nothing outside this process.

    >>> digest_key(b"a") == digest_key(b"a"), digest_key(b"a") == digest_key(b"b")
    (True, False)
    """
    return hashlib.blake2b(key, key=_SECRET, digest_size=DIGEST_BYTES).digest()


def fingerprint(key: bytes) -> str:
    """What logs show of a key, alike on all boxes.

    >>> len(fingerprint(b"some key"))
    8
    """
    return hashlib.blake2b(key, digest_size=FINGERPRINT_BYTES, person=b"croftchute-key").hexdigest()


class LimitMode(StrEnum):
    """How a limit that holds over all boxes is kept: by pools of lent shares, or box by box."""

    POOLED = "pooled"
    FIXED = "fixed"


class LimitUnit(StrEnum):
    """What a limit counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageLimit:
    """What an organisation may use over all boxes: units a second, and a burst above that.

    ``default_tokens`` is what a request counts that names no tokens.
    """

    rate_per_s: float
    burst: float
    unit: LimitUnit = LimitUnit.REQUESTS
    default_tokens: int = 0

    def cost(self, tokens: int | None) -> int:
        """The units that a request counts; ``tokens`` is None if it names none.

        >>> limit = UsageLimit(rate_per_s=1, burst=1, unit=LimitUnit.TOKENS, default_tokens=200)
        >>> limit.cost(3272), limit.cost(None)
        (3272, 200)
        """
        if self.unit is LimitUnit.REQUESTS:
            return 1
        return self.default_tokens if tokens is None else tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class Organisation:
    """One organisation; ``priority`` and ``limit`` are None if the configuration sets none."""

    name: str
    priority: int | None = None
    limit: UsageLimit | None = None


class KeyState(StrEnum):
    """How a request names its key."""

    ABSENT = "absent"
    MALFORMED = "malformed"
    PRESENT = "present"


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyClaim:
    """The key that a request bears, as its digest and what logs may show of it."""

    state: KeyState = KeyState.ABSENT
    digest: bytes = b""
    fingerprint: str = ""


NO_KEY = KeyClaim()


@dataclass(frozen=True, kw_only=True, slots=True)
class Organisations:
    """All organisations of a configuration, and which of them holds a key."""

    by_name: dict[str, Organisation] = field(default_factory=dict)
    name_by_digest: dict[bytes, str] = field(default_factory=dict)

    @property
    def has_limits(self) -> bool:
        """Whether some organisation has a limit."""
        return any(organisation.limit is not None for organisation in self.by_name.values())

    def holder(self, claim: KeyClaim) -> Organisation | None:
        """The organisation that holds a key; None if no organisation does.

        >>> key = KeyClaim(state=KeyState.PRESENT, digest=b"1")
        >>> Organisations(
        ...     by_name={"crew": Organisation(name="crew")}, name_by_digest={b"1": "crew"}
        ... ).holder(key).name
        'crew'
        >>> Organisations().holder(key) is None
        True
        """
        if claim.state is not KeyState.PRESENT:
            return None
        name = self.name_by_digest.get(claim.digest)
        return None if name is None else self.by_name[name]
