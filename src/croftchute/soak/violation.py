"""What the soak's checks report."""

from __future__ import annotations

from dataclasses import dataclass

from croftchute.standins.platform_caller import Try


@dataclass(frozen=True, kw_only=True, slots=True)
class Violation:
    """A promise that was broken, by which request, and how."""

    promise: str
    request_id: str
    detail: str


def broken(promise: str, attempt: Try, detail: str) -> Violation:
    """A promise broken to one try."""
    return Violation(
        promise=promise,
        request_id=attempt.request_id,
        detail=f"{attempt.kind.value} at {attempt.box}: {detail}",
    )
