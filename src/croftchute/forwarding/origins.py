"""How it is known which software version began a stream that a caller takes up."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol
from urllib.parse import quote, unquote

from croftchute.peers.messages import OriginNews
from croftchute.tables.origins import StreamOrigin

BUILD = b"croftchute-build"
"""Header between boxes that says where a stream began: of a request for the rest of one, and of
each answer that is a stream. The service and the build, percent-encoded."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FoundOrigin:
    """Where a stream began, and how this is known, for the log.

    ``origin`` is None if it is not known, or if no worker of it was listed lately: ``is_gone``.
    ``asked`` and ``answered`` count other boxes. ``is_pending``: the store has not answered yet.
    """

    origin: StreamOrigin | None
    source: str
    is_gone: bool = False
    asked: int = 0
    answered: int = 0
    is_pending: bool = False


class OriginDirectory(Protocol):
    """Where streams began, over all boxes."""

    async def note_begun(self, stream: int, alias: int, origin: StreamOrigin) -> None:
        """Record that a caller is about to get a stream's first event; wait briefly for the record.

        ``stream`` is the key of its try and ``alias`` that of its request.
        """
        ...

    def note_doubtful(self, stream: int, alias: int) -> None:
        """Record that it is not certain where a stream began, though it was recorded."""
        ...

    async def find(self, key: int, services: tuple[str, ...], *, within_s: float) -> FoundOrigin:
        """Return where a stream began, by the try that its caller names or by its request alone.

        ``services`` are those that a route names now. The stream began ``within_s`` seconds ago at
        most.
        """
        ...


class OriginRecord(Protocol):
    """What outlives all boxes: where streams began, as the store keeps it."""

    def note(self, news: OriginNews) -> None:
        """Write soon where a stream began; at once if that is urgent."""
        ...

    async def recorded(self, stream: int, *, within_s: float) -> bool:
        """Wait until what was noted of a stream is written; return False if that takes longer."""
        ...

    async def refresh(self, *, within_s: float) -> bool:
        """Read all that is written; return False if that takes longer, or fails."""
        ...

    def request_read(self) -> None:
        """Have all that is written read, without waiting for it."""
        ...


class NoRecord:
    """A record that keeps nothing, for boxes without a store."""

    def note(self, news: OriginNews) -> None:
        """Do nothing."""

    async def recorded(self, stream: int, *, within_s: float) -> bool:
        """Write nothing."""
        return False

    async def refresh(self, *, within_s: float) -> bool:
        """Find nothing."""
        return True

    def request_read(self) -> None:
        """Do nothing."""


class UnknownOrigins:
    """A directory that knows no stream, for code that runs without boxes."""

    async def note_begun(self, stream: int, alias: int, origin: StreamOrigin) -> None:
        """Do nothing."""

    def note_doubtful(self, stream: int, alias: int) -> None:
        """Do nothing."""

    async def find(self, key: int, services: tuple[str, ...], *, within_s: float) -> FoundOrigin:
        """Know nothing."""
        return FoundOrigin(origin=None, source="none")


def origin_header(origin: StreamOrigin) -> tuple[bytes, bytes]:
    """Return the header that says where a stream began.

    >>> origin_header(StreamOrigin(service="llm", build="v 1"))
    (b'croftchute-build', b'llm v%201')
    """
    return BUILD, f"{quote(origin.service, safe='')} {quote(origin.build, safe='')}".encode()


def read_origin(value: bytes | None) -> StreamOrigin | None:
    """Return what :func:`origin_header` wrote; None if there is nothing or it can't be read."""
    service, _, build = (value or b"").decode("latin-1").partition(" ")
    if not service or not build:
        return None
    return StreamOrigin(service=unquote(service), build=unquote(build))
