"""Time for one process: wall-clock seconds that never step back."""

from __future__ import annotations

import time


class ProcessClock:
    """Unix time as it was at the start, carried on by the monotonic clock."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Seconds since 1970; never steps back within a process."""
        return self._offset + time.monotonic()
