"""How the bodies of calls to the store and to peers come in: their size, their time, their end.

A configuration of thousands of routes takes seconds on a slow link. So a body is given up when
nothing of it comes any more, not when the whole of it takes long: cutting a reading that goes on,
and beginning it anew, fills the link for ever. What a
call brought, and where it was cut, is told in the log and in the metrics.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from types import TracebackType

from croftchute.errors import CroftchuteError
from croftchute.forwarding.http.deadline import within
from croftchute.forwarding.http.failures import AnswerLateError, ConnectionBrokenError
from croftchute.forwarding.http.http_client import ClientConnection

STORE = "store"
"""The source of what the store itself answers."""

SILENCE_S = 1.5
"""Seconds without a byte after which a body is given up: several resendings of a lost packet, and
less than the shortest time in which a configuration is to be in force."""

MIN_PACE_BYTES_PER_S = 10_000
"""Pace below which a body counts as silent too: a sixtieth of a link of 5 Mbit/s, so that one that
shares its link with much else is not cut. A peer that sends a byte now and then is left by it."""

LONG_BODY_BYTES = 65_536
"""Size of a body in bytes from which on its transfer is logged: a tenth of a second at 5 Mbit/s."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Transfer:
    """One call's answer: ``size`` in bytes as far as it came, ``seconds`` from head to end.

    ``source`` is "store" or a peer's id; ``outcome`` is "status_200" and the like, or an error's
    code.
    """

    call: str
    source: str
    outcome: str
    size: int = 0
    seconds: float = 0.0
    is_whole: bool = False

    @property
    def is_notable(self) -> bool:
        """Whether it deserves a line: long, or cut off in its middle."""
        return self.size >= LONG_BODY_BYTES or (self.size > 0 and not self.is_whole)


TransferObserver = Callable[[Transfer], None]


class TransferMeter:
    """Observes one call: enter it before the call, tell it when the head has come."""

    def __init__(
        self,
        *,
        call: str,
        source: str,
        clock: Callable[[], float],
        observe: TransferObserver,
    ) -> None:
        self.call = call
        self.source = source
        self._clock = clock
        self._observe = observe
        self._connection: ClientConnection | None = None
        self._begun_at = 0.0
        self._status = 0

    def begin(self, connection: ClientConnection, status: int) -> None:
        """The head has come on a connection; the body follows."""
        self._connection = connection
        self._begun_at = self._clock()
        self._status = status

    def __enter__(self) -> TransferMeter:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Tell what came of it; a call that was cancelled is no answer of anyone."""
        if error is not None and not isinstance(error, CroftchuteError):
            return
        outcome = error.code.value if error is not None else f"status_{self._status}"
        connection = self._connection
        self._observe(
            Transfer(
                call=self.call,
                source=self.source,
                outcome=outcome,
                size=connection.body_bytes if connection is not None else 0,
                seconds=self._clock() - self._begun_at if connection is not None else 0.0,
                is_whole=error is None,
            )
        )


async def read_while_it_comes(
    connection: ClientConnection,
    *,
    max_bytes: int,
    clock: Callable[[], float],
    on_progress: Callable[[], None] = lambda: None,
    silence_s: float = SILENCE_S,
) -> bytes:
    """The whole body, however long it takes as long as it keeps coming.

    ``on_progress`` is called for each part, ``silence_s`` is the longest time between two.
    Raises AnswerLateError once nothing more comes, and ConnectionBrokenError if the connection
    breaks or the body is too long.
    """
    parts: list[bytes] = []
    begun_at = clock()
    while part := await within(connection.read_part(), silence_s, "no more of the body"):
        parts.append(part)
        on_progress()
        if is_trickle(connection.body_bytes, clock() - begun_at):
            raise AnswerLateError(f"{connection.body_bytes} bytes of the body, too slowly")
        if connection.body_bytes > max_bytes:
            raise ConnectionBrokenError("answer too large")
    return b"".join(parts)


def is_trickle(size: int, seconds: float) -> bool:
    """Whether a body of which ``size`` bytes came in some time is given up as a silent one is.

    >>> is_trickle(1_000_000, 90.0), is_trickle(5, 5.0)
    (False, True)
    """
    return seconds > SILENCE_S + size / MIN_PACE_BYTES_PER_S
