"""Where streams began, as boxes keep it and tell it to each other."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

DIGEST_BYTES = 8
"""Length of digests in messages, which go out with each stream: two of the streams that are kept at
a time, or of the builds that serve, don't share one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamOrigin:
    """The service and the build whose worker sent a stream's first event.

    ``build``: see :attr:`croftchute.tables.routing.Worker.build`.
    """

    service: str
    build: str

    @property
    def digest(self) -> int:
        """A number that stands for the origin in messages; never 0."""
        return _digest(self.service, self.build, b"croftchute-ori") or 1


def stream_key(organisation: str, request_id: str) -> int:
    """Return the key of the stream that a try of an organisation's caller began.

    >>> stream_key("", "r1") == stream_key("another", "r1")
    False
    """
    return _digest(organisation, request_id, b"croftchute-str")


def request_key(request_digest: str) -> int:
    """Return the key of the streams of a request that its callers repeat without naming the first.

    Requests of one digest (see :mod:`croftchute.tables.crashes`) share it: if they began at
    different workers, none of them is known by it.
    """
    return _digest("", request_digest, b"croftchute-req")


def _digest(first: str, second: str, kind: bytes) -> int:
    text = f"{first}\n{second}".encode("utf-8", "surrogatepass")
    digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES, person=kind).digest()
    return int.from_bytes(digest, "big")
