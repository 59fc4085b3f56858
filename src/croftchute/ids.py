"""Identifiers: UUIDv7 request ids and idempotency keys, whose time can be read back."""

from __future__ import annotations

import uuid

import uuid_utils

from croftchute.errors import Code, RequestError

UUID_VERSION_WITH_TIME = 7
MILLISECONDS = 1000.0


def new_request_id() -> str:
    """A fresh UUIDv7 as 32 hexadecimal digits."""
    return str(uuid_utils.uuid7()).replace("-", "")


def minted_at(key: str) -> float:
    """The Unix time in seconds at which a UUIDv7 was made.

    >>> round(minted_at("01890a5d-ac96-774b-bcce-b302099a8057"))
    1688096059

    Raises :class:`RequestError` with ``key_invalid`` for anything but a UUIDv7.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        raise RequestError(Code.KEY_INVALID, f"idempotency key {key[:40]!r} is no UUID") from None
    if parsed.version != UUID_VERSION_WITH_TIME:
        raise RequestError(Code.KEY_INVALID, f"idempotency key {key!r} is no UUIDv7")
    return (parsed.int >> 80) / MILLISECONDS
