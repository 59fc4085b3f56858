"""A shard's recent lack of capacity: the share of reservation requests that it declined."""

from __future__ import annotations

SMOOTHING_FACTOR = 0.03
FULL_PRESSURE_DECLINED_SHARE = 0.1


class Pressure:
    """Exponentially weighted share of declines; a shard's owner keeps one per shard."""

    def __init__(self) -> None:
        self.declined_share = 0.0

    def __repr__(self) -> str:
        return f"Pressure(declined_share={self.declined_share:.3f})"

    @property
    def level(self) -> float:
        """Lack of capacity, from 0 without declines to 1.

        It is 1 if the declined share is ``FULL_PRESSURE_DECLINED_SHARE`` or more.
        """
        return min(1.0, self.declined_share / FULL_PRESSURE_DECLINED_SHARE)

    def count_request(self, *, declined: bool) -> None:
        """Count a reservation request.

        ``declined`` means that the shard lacked the capacity for a request of this size,
        whichever caller sent it.
        """
        self.declined_share += SMOOTHING_FACTOR * (float(declined) - self.declined_share)
