"""Where streams began, as boxes keep it and tell it to each other."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

KEY_BYTES = 8
"""Length of a stream's key; two of the streams that are kept at a time don't share one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamOrigin:
    """The service and the build whose worker sent a stream's first event.

    ``build``: see :attr:`croftchute.tables.routing.Worker.build`.
    """

    service: str
    build: str


def stream_key(organisation: str, request_id: str) -> bytes:
    """Return the key of the stream that a try of an organisation's caller began.

    >>> stream_key("", "r1") == stream_key("another", "r1")
    False
    """
    text = f"{organisation}\n{request_id}".encode("utf-8", "surrogatepass")
    return hashlib.blake2b(text, digest_size=KEY_BYTES, person=b"croftchute-str").digest()
