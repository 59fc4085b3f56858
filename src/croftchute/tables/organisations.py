"""Organisations, their keys and limits, and the lookup of a request's organisation."""

from __future__ import annotations

import hashlib
import secrets
from dataclasses import dataclass, field
from enum import StrEnum

DIGEST_BYTES = 16
"""Length of a key's digest: long enough that the keys of 27,000 organisations don't collide."""

FINGERPRINT_BYTES = 4
"""Length of a key's fingerprint in logs: enough to tell keys apart, too short to test guessed keys
against."""

_SECRET = secrets.token_bytes(32)


def digest_key(key: bytes) -> bytes:
    """Return the digest of a key for use in tables; it is valid only in this process.

    >>> digest_key(b"a") == digest_key(b"a"), digest_key(b"a") == digest_key(b"b")
    (True, False)
    """
    return hashlib.blake2b(key, key=_SECRET, digest_size=DIGEST_BYTES).digest()


def fingerprint(key: bytes) -> str:
    """Return the fingerprint of a key for logs, the same on all boxes.

    >>> len(fingerprint(b"some key"))
    8
    """
    return hashlib.blake2b(key, digest_size=FINGERPRINT_BYTES, person=b"croftchute-key").hexdigest()


class LimitMode(StrEnum):
    """How boxes apply a shared limit: by pools of lent shares, or by a fixed share per box."""

    POOLED = "pooled"
    FIXED = "fixed"


class LimitUnit(StrEnum):
    """What a limit counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageLimit:
    """What an organisation may use over all boxes: units per second, and a burst on top.

    ``default_tokens`` is the cost of a request that declares no tokens.
    """

    rate_per_s: float
    burst: float
    unit: LimitUnit = LimitUnit.REQUESTS
    default_tokens: int = 0

    def cost(self, tokens: int | None) -> int:
        """Return the units that a request costs; ``tokens`` is None if it declares none.

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
    """Whether a request has a key, and whether it is well formed."""

    ABSENT = "absent"
    MALFORMED = "malformed"
    PRESENT = "present"


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyClaim:
    """A request's key, as its digest and its fingerprint for logs."""

    state: KeyState = KeyState.ABSENT
    digest: bytes = b""
    fingerprint: str = ""


NO_KEY = KeyClaim()


@dataclass(frozen=True, kw_only=True, slots=True)
class Organisations:
    """All organisations of a configuration, with a lookup by key."""

    by_name: dict[str, Organisation] = field(default_factory=dict)
    name_by_digest: dict[bytes, str] = field(default_factory=dict)

    @property
    def has_limits(self) -> bool:
        """Whether any organisation has a limit."""
        return any(organisation.limit is not None for organisation in self.by_name.values())

    def holder(self, claim: KeyClaim) -> Organisation | None:
        """Return the organisation that a key belongs to; None if there is none.

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
