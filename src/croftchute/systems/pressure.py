"""How short of capacity a shard has been lately: the share of asks that it had to decline."""

from __future__ import annotations

LEARNING_RATE = 0.03
FULL_PRESSURE_DECLINED_SHARE = 0.1


class Pressure:
    """An exponentially weighted share of declines, one for each shard an owner holds."""

    def __init__(self) -> None:
        self.declined_share = 0.0

    def __repr__(self) -> str:
        return f"Pressure(declined_share={self.declined_share:.3f})"

    @property
    def level(self) -> float:
        """0 without declines, 1 from a tenth of the asks on."""
        return min(1.0, self.declined_share / FULL_PRESSURE_DECLINED_SHARE)

    def record(self, *, declined: bool) -> None:
        """Count an ask; declined means that nobody's ask of that size could have been granted."""
        self.declined_share += LEARNING_RATE * (float(declined) - self.declined_share)
