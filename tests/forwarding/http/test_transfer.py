"""When the body of an answer is given up: silent or trickling, never for its length."""

import asyncio

import pytest

from croftchute.forwarding.http import transfer
from croftchute.forwarding.http.failures import AnswerLateError, ConnectionBrokenError
from croftchute.forwarding.http.transfer import MIN_PACE_BYTES_PER_S, SILENCE_S, read_while_it_comes


class Body:
    """A connection whose parts come at given times of a clock of its own."""

    def __init__(self, *parts):
        self.parts = list(parts)
        self.now = 0.0
        self.body_bytes = 0

    async def read_part(self):
        if not self.parts:
            return b""
        at, part = self.parts.pop(0)
        self.now = at
        self.body_bytes += len(part)
        return part


def read(body, **options):
    async def reading():
        return await read_while_it_comes(
            body, clock=lambda: body.now, **({"max_bytes": 10**9} | options)
        )

    return asyncio.run(reading())


def test_a_body_may_take_minutes_as_long_as_it_keeps_coming():
    parts = [(float(second), b"x" * 2 * MIN_PACE_BYTES_PER_S) for second in range(300)]
    progress = []
    found = read(Body(*parts), on_progress=lambda: progress.append(1))
    assert len(found) == 600 * MIN_PACE_BYTES_PER_S and len(progress) == 300


def test_a_body_of_which_a_byte_comes_now_and_then_is_given_up():
    """It held whoever asked for it for ever, and its list of workers stayed old meanwhile."""
    with pytest.raises(AnswerLateError, match="too slowly"):
        read(Body(*((0.9 * number, b"x") for number in range(100))))


def test_a_body_of_which_nothing_comes_is_given_up(monkeypatch):
    monkeypatch.setattr(transfer, "SILENCE_S", 0.01)

    class Silent(Body):
        async def read_part(self):
            await asyncio.Event().wait()

    with pytest.raises(AnswerLateError, match="no more of the body"):
        read(Silent())


def test_a_body_that_is_too_long_is_given_up():
    with pytest.raises(ConnectionBrokenError):
        read(Body((0.0, b"x" * 50), (0.1, b"x" * 60)), max_bytes=100)


def test_a_short_body_has_the_time_of_silence():
    assert read(Body((SILENCE_S, b"x"))) == b"x"
