"""The bytes of a connection up to the end of the request that is being received.

Only where a request ends is read here; what it says is up to the server that is given its head.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

READ_BYTES = 65_536
"""Most bytes that are read at once."""

FREE_PIECES = 16
"""Pieces of a request that may be small, as many clients send a head in several."""

PIECE_BYTES = 4096
"""Bytes of a request for each further piece that is not small."""

HEAD_END = re.compile(rb"\r?\n\r?\n")
HEAD_END_BYTES = 4
LENGTH = re.compile(rb"(?im)^content-length[ \t]*:[ \t]*([^\r\n]*?)[ \t]*\r?$")
ENCODING = re.compile(rb"(?im)^transfer-encoding[ \t]*:")
EXPECTATION = re.compile(rb"(?im)^expect[ \t]*:[ \t]*100-continue[ \t]*\r?\n")
WHOLE_NUMBER = re.compile(rb"[0-9]{1,18}")

COPIES = 3
"""Copies of a request that is being served: as received, as decoded and as sent on."""

LINE_BYTES = 200
"""What a header line takes beside its bytes once it is read: objects, and a place in a table."""


@dataclass(frozen=True, kw_only=True)
class RequestLimits:
    """What a request may be, and how fast it has to come."""

    max_head_bytes: int = 1 << 16
    max_header_lines: int = 1 << 14
    max_body_bytes: int = 1 << 26
    timeout_s: float = 10.0
    min_bytes_per_s: int = 4096

    def longest_s(self, size: int) -> float:
        """Seconds that a client may take for so many bytes, which it sends or reads.

        >>> RequestLimits(timeout_s=10.0, min_bytes_per_s=4096).longest_s(8192)
        12.0
        """
        return self.timeout_s + size / self.min_bytes_per_s


@dataclass(frozen=True, kw_only=True)
class WholeRequest:
    """A request that has come; ``is_last`` if its end is unknown or its body was left unread."""

    head: bytes
    body: bytes
    is_last: bool

    @property
    def size(self) -> int:
        """Bytes that came."""
        return len(self.head) + len(self.body)

    @property
    def served_bytes(self) -> int:
        """Bytes that it takes while it is being served."""
        return COPIES * self.size + LINE_BYTES * self.head.count(b"\n")


class ReceivedRequest:
    """The request that is due on a connection, and what came behind it.

    >>> request = ReceivedRequest(limits=RequestLimits(), now=0.0)
    >>> request.add(b"POST / HTTP/1.1\\r\\nContent-Length: 2\\r\\n\\r\\nab", 0.0)
    >>> request.is_whole
    True
    >>> request.take(0.0).body
    b'ab'
    """

    def __init__(self, *, limits: RequestLimits, now: float) -> None:
        self._limits = limits
        self._received = bytearray()
        self.begin(now)

    def begin(self, now: float) -> None:
        """Begin the next request, with what has come of it."""
        self.pieces = 0
        self._begun_at = now
        self._last_at = now
        self._scanned = 0
        self._lines = 0
        self._head_end = 0
        self._end = 0
        self._is_last = False
        self._may_continue = False
        self._find_end()

    @property
    def size(self) -> int:
        """Bytes that are held."""
        return len(self._received)

    @property
    def is_whole(self) -> bool:
        """Whether all of the request has come, or as much as will be read of it."""
        return bool(self._head_end) and len(self._received) >= self._end

    @property
    def has_too_many_lines(self) -> bool:
        """Whether its head has more lines than allowed."""
        return self._lines > self._limits.max_header_lines

    @property
    def is_in_small_pieces(self) -> bool:
        """Whether it comes in so many pieces that reading each by itself takes too long.

        >>> request = ReceivedRequest(limits=RequestLimits(), now=0.0)
        >>> for _ in range(FREE_PIECES + 1):
        ...     request.add(b"G", 0.0)
        >>> request.is_in_small_pieces
        True
        """
        return self.pieces > FREE_PIECES + len(self._received) // PIECE_BYTES

    @property
    def wanted_bytes(self) -> int:
        """Most bytes to read next."""
        if not self._head_end:
            return READ_BYTES
        return min(READ_BYTES, max(0, self._end - len(self._received)))

    def left_s(self, now: float) -> float:
        """Seconds until the next bytes must have come."""
        limits = self._limits
        allowed_s = limits.longest_s(len(self._received))
        return min(self._last_at + limits.timeout_s, self._begun_at + allowed_s) - now

    def add(self, data: bytes, now: float) -> None:
        """Take in bytes that came."""
        if not self._received:
            self._begun_at = now
        self._last_at = now
        self.pieces += 1
        self._received += data
        if not self._head_end:
            self._find_end()

    def take_expectation(self) -> bool:
        """Return once whether the client waits for 100 Continue before it sends the body."""
        may_continue, self._may_continue = self._may_continue, False
        return may_continue and not self.is_whole

    def take(self, now: float) -> WholeRequest:
        """Take the whole request out, and begin the next."""
        view = memoryview(self._received)
        head = EXPECTATION.sub(b"", bytes(view[: self._head_end]))
        whole = WholeRequest(
            head=head, body=bytes(view[self._head_end : self._end]), is_last=self._is_last
        )
        rest = bytes(view[self._end :])
        view.release()
        self._received = bytearray(rest)
        self.begin(now)
        return whole

    def clear(self) -> None:
        """Drop all that came."""
        self._received = bytearray()

    def _find_end(self) -> None:
        found = HEAD_END.search(self._received, max(0, self._scanned - HEAD_END_BYTES + 1))
        end = found.end() if found else len(self._received)
        self._lines += self._received.count(b"\n", self._scanned, end)
        self._scanned = end
        if found:
            self._head_end = end
            self._read_head()
        elif end > self._limits.max_head_bytes:
            # Its server refuses it for its size.
            self._head_end = self._end = end
            self._is_last = True

    def _read_head(self) -> None:
        head = bytes(memoryview(self._received)[: self._head_end])
        lengths = set(LENGTH.findall(head)) or {b"0"}
        length = lengths.pop()
        is_known = not lengths and WHOLE_NUMBER.fullmatch(length) and not ENCODING.search(head)
        if is_known and int(length) <= self._limits.max_body_bytes:
            self._end = self._head_end + int(length)
            self._may_continue = EXPECTATION.search(head) is not None
        else:
            self._end = self._head_end
            self._is_last = True
