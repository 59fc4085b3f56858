"""Bounds on what a client may send around the content of a request.

The parser keeps an unfinished header line by itself, so that bytes are counted outside of it. Chunk
sizes with their extensions, and fields behind a chunked body, are dropped, but take time.
"""

from __future__ import annotations

from croftchute.tables.routing import HeaderList

PIECE_BYTES = 4096
"""Bytes that are parsed at once where the parser may report much, so that little is parsed beyond a
bound."""

SHORTEST_LINE_BYTES = 4
"""Bytes of the shortest header line: a name of one letter, the colon and the line's end."""

LINE_BYTES = 200
"""What a header line of a whole request takes beside its bytes: two objects, their pair, and its
place in the lists of what was read, what is kept and what is sent."""

HEAD_COPIES = 3
"""Copies of the bytes of a whole request's head: as read, and as encoded for a worker."""

NAME_END = b"\0"
LINE_END = b"\n"
"""Neither byte may stand in a header line, which the parser checks."""

MAX_FRAMING_BYTES = 65_536
"""Usual bound on the bytes of chunk sizes and extensions that are not in proportion to the
content."""

MAX_FRAMING_RATIO = 8
"""Most further bytes of that for each byte of content: a chunk of one byte has five."""


def max_header_lines(max_header_bytes: int) -> int:
    """Return how many header lines fit into a head, so that no legal head has more.

    >>> max_header_lines(16384)
    4096
    """
    return max(1, max_header_bytes // SHORTEST_LINE_BYTES)


class RequestHead:
    """The header lines of a request that is being read, without an object for each line.

    >>> head = RequestHead()
    >>> head.add(b"host", b"a")
    >>> head.add(b"accept", b"")
    >>> head.headers()
    [(b'host', b'a'), (b'accept', b'')]
    """

    __slots__ = ("lines", "_packed")

    def __init__(self) -> None:
        self.lines = 0
        self._packed = bytearray()

    @property
    def size(self) -> int:
        """Bytes that the lines take while the request is being read."""
        return len(self._packed)

    @property
    def parsed_bytes(self) -> int:
        """Bytes that the lines take once they are objects."""
        return self.lines * LINE_BYTES + len(self._packed) * HEAD_COPIES

    def add(self, name: bytes, value: bytes) -> None:
        """Add a line."""
        self.lines += 1
        self._packed += name + NAME_END + value + LINE_END

    def headers(self) -> HeaderList:
        """The lines as pairs of name and value."""
        pairs: HeaderList = []
        for line in bytes(self._packed).split(LINE_END)[: self.lines]:
            name, _, value = line.partition(NAME_END)
            pairs.append((name, value))
        return pairs


class RequestFraming:
    """The bytes of one request that are not its content, as they came in."""

    __slots__ = ("is_head", "_content", "_framing", "_since_content", "_head")

    def __init__(self) -> None:
        self.is_head = True
        self._head = 0
        self._content = 0
        self._framing = 0
        self._since_content = 0

    def add(self, size: int, *, content: int) -> None:
        """Count a piece of ``size`` bytes, with what it held of content."""
        if self.is_head:
            self._head += size
            return
        self._content += content
        self._framing += size - content
        self._since_content = 0 if content else self._since_content + size

    def is_excessive(
        self, max_header_bytes: int, max_framing_bytes: int = MAX_FRAMING_BYTES
    ) -> bool:
        """Return whether there is too much of them.

        A piece that was parsed at once may hold bytes of two kinds, so one more is allowed.

        >>> framing = RequestFraming()
        >>> framing.add(16_000, content=0)
        >>> framing.is_excessive(16_384)
        False
        >>> framing.add(4_097 + 384, content=0)
        >>> framing.is_excessive(16_384)
        True
        """
        allowed = max_header_bytes + PIECE_BYTES
        if self._head > allowed or self._since_content > allowed:
            return True
        return self._framing > max_framing_bytes + MAX_FRAMING_RATIO * self._content
