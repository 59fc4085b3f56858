"""When what was disturbed: rules with a time bound hold only where nothing was for a while."""

from __future__ import annotations

from dataclasses import dataclass, field

EVERYTHING = "*"
STORE = "store"


@dataclass(frozen=True, kw_only=True, slots=True)
class Disturbance:
    """A time in which something (a box, the store, a worker) did not work as it should."""

    name: str
    start: float
    end: float
    is_planned: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Pace:
    """A time in which the store link of a box brought all bytes, but slowly: no disturbance."""

    box: str
    start: float
    end: float
    bytes_a_second: float


@dataclass(kw_only=True)
class Disturbances:
    """All disturbances of a run, and what was merely slow."""

    known: list[Disturbance] = field(default_factory=list)
    paces: list[Pace] = field(default_factory=list)

    def note(self, name: str, start: float, end: float, *, is_planned: bool = False) -> None:
        """Something is disturbed for a time."""
        self.known.append(Disturbance(name=name, start=start, end=end, is_planned=is_planned))

    def stops_about(self, box: str, start: float, end: float) -> list[Disturbance]:
        """The planned stops of a box that touch a time."""
        return [
            one
            for one in self.known
            if one.name == box and one.is_planned and one.start <= end and one.end >= start
        ]

    def paces_about(self, box: str, start: float, end: float) -> list[Pace]:
        """The times of a slow link of a box that touch a time."""
        return [
            one for one in self.paces if one.box == box and one.start <= end and one.end >= start
        ]

    def are_calm(
        self, names: tuple[str, ...], start: float, end: float, *, but_planned: bool = False
    ) -> bool:
        """Whether nothing of these was disturbed between two times.

        >>> seen = Disturbances()
        >>> seen.note("box-1", 2.0, 3.0)
        >>> seen.are_calm(("box-1",), 3.5, 4.0), seen.are_calm(("box-1",), 2.5, 4.0)
        (True, False)
        """
        return not any(
            disturbance.start <= end and disturbance.end >= start
            for disturbance in self.known
            if disturbance.name in names or disturbance.name == EVERYTHING
            if not (but_planned and disturbance.is_planned)
        )
