"""Bounds on what a server may send besides the content of an answer.

A faulty server may send header lines, chunk sizes, trailers or answers to nobody for ever. The
parser keeps some of it, and reading it takes time, so that bytes are counted outside of the parser.
How long the content itself may be is up to its reader.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_FRAMING_BYTES = 65_536
"""Most bytes of the head, with interim answers ahead of it, and of chunk sizes, chunk extensions
and trailers without content in between: four times the longest head of a request."""

MAX_FRAMING_RATIO = 8
"""Most further bytes of that for each byte of content: a chunk of one byte has five."""

MAX_SKIPPED_BYTES = 1 << 20
"""Most bytes of content in answers that are passed over, as they belong to earlier requests."""

MAX_MESSAGES = 64
"""Most answers ahead of or behind the one that is due, interim ones among them."""

FIRST_STATUS = 100
LAST_STATUS = 599
"""Statuses of HTTP lie between these: an answer with another one is none."""

MAX_HEADERS = 256
"""Most headers of an answer, with those of interim answers: each takes far more memory than its
bytes."""


@dataclass(kw_only=True, slots=True)
class ReceivedBytes:
    """The bytes of one exchange, as they came in.

    >>> received = ReceivedBytes()
    >>> received.add(70_000, content=70_000 - 200, skipped=0)
    >>> received.excess
    ''
    >>> received.add(MAX_FRAMING_BYTES + 1, content=0, skipped=0)
    >>> received.excess
    '65537 bytes without content'
    """

    content: int = 0
    skipped: int = 0
    framing: int = 0
    framing_since_content: int = 0
    headers: int = 0
    messages: int = 0

    def add(self, size: int, *, content: int, skipped: int) -> None:
        """Count a piece of ``size`` bytes, with what it held of content."""
        framing = size - content - skipped
        self.content += content
        self.skipped += skipped
        self.framing += framing
        if content or skipped:
            self.framing_since_content = 0
        else:
            self.framing_since_content += framing

    @property
    def excess(self) -> str:
        """What there is too much of; empty if nothing."""
        if self.headers > MAX_HEADERS:
            return f"over {MAX_HEADERS} headers"
        if self.messages > MAX_MESSAGES:
            return f"over {MAX_MESSAGES} answers"
        if self.framing_since_content > MAX_FRAMING_BYTES:
            return f"{self.framing_since_content} bytes without content"
        if self.skipped > MAX_SKIPPED_BYTES:
            return f"{self.skipped} bytes of answers to other requests"
        allowed = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * (self.content + self.skipped)
        if self.framing > allowed:
            return f"{self.framing} bytes around {self.content + self.skipped} of content"
        return ""
