"""A plot of goodput and wasted prefill by load, for each scenario and router."""

from __future__ import annotations

import statistics
from pathlib import Path

import matplotlib

from croftchute.bench.experiment import Row

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402 - the back end has to be chosen first


def draw(rows: list[Row], path: Path) -> None:
    """Write a PNG; medians over seeds of the quiet runs."""
    quiet = [row for row in rows if row.faults == "quiet"]
    scenarios = sorted({row.scenario for row in quiet})
    if not scenarios:
        return
    figure, axes = pyplot.subplots(
        2, len(scenarios), figsize=(4.5 * len(scenarios), 7), squeeze=False
    )
    for column, scenario in enumerate(scenarios):
        chosen = [row for row in quiet if row.scenario == scenario]
        for router in sorted({row.router for row in chosen}):
            own = [row for row in chosen if row.router == router]
            loads = sorted({row.load for row in own})
            goodput = [statistics.median(r.goodput for r in own if r.load == x) for x in loads]
            wasted = [
                statistics.median(r.wasted_prefill for r in own if r.load == x) for x in loads
            ]
            axes[0][column].plot(loads, goodput, marker="o", label=router)
            axes[1][column].plot(loads, wasted, marker="o", label=router)
        axes[0][column].set_title(scenario)
        axes[0][column].set_ylabel("goodput, share of offered")
        axes[1][column].set_ylabel("wasted prefill, share of work")
        axes[1][column].set_xlabel("load, share of capacity")
        axes[0][column].set_ylim(0, 1.02)
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
