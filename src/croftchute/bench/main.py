"""``make bench``: all runs, written to ``build/bench.json`` with a plot and a table."""

from __future__ import annotations

import argparse
import json
import statistics
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from pathlib import Path

from tqdm import tqdm

from croftchute.bench.experiment import Row, RunSpec, run
from croftchute.bench.plot import draw

LOADS = (0.7, 1.0, 1.5)
ROUTERS = ("naive", "least-loaded", "croftchute", "oracle")
FAULTS = (
    "quiet",
    "engine-death",
    "box-death",
    "stalled-links",
    "cancels",
    "reports-stopped",
    "drain",
    "engine-death+stalled-links+cancels",
)
TARGET_FAULTS = ("quiet", "engine-death+stalled-links+cancels")
SEEDS = (1, 2, 3, 4, 5)
OUTPUT = Path("build/bench.json")


def specs(scenarios: Iterable[str], seeds: Iterable[int]) -> list[RunSpec]:
    """All runs: baselines are measured quiet and under two faults at once."""
    made = []
    for scenario in scenarios:
        target = scenario == "hall-at-target"
        for faults in TARGET_FAULTS if target else FAULTS:
            for router in ROUTERS:
                if router in ("naive", "least-loaded") and faults not in TARGET_FAULTS:
                    continue
                made += [
                    RunSpec(scenario=scenario, load=load, faults=faults, router=router, seed=seed)
                    for load in LOADS
                    for seed in seeds
                ]
    return made


def run_all(wanted: list[RunSpec], workers: int) -> list[Row]:
    """Run everything, the longest scenario first."""
    ordered = sorted(wanted, key=lambda spec: spec.scenario != "hall-at-target")
    with ProcessPoolExecutor(workers) as pool:
        return list(tqdm(pool.map(run, ordered), total=len(ordered), smoothing=0))


def table(rows: list[Row]) -> str:
    """Medians over seeds, a line for each scenario, load, fault and router."""
    groups: dict[tuple[str, str, float, str], list[Row]] = {}
    for row in rows:
        groups.setdefault((row.scenario, row.faults, row.load, row.router), []).append(row)
    lines = [
        "| scenario | faults | load | router | goodput | refused | missed | wasted prefill"
        " | TTFT p95 s | per token p95 ms | violations | leaked |",
        "|---|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for (scenario, faults, load, router), group in sorted(groups.items()):
        median = statistics.median
        lines.append(
            f"| {scenario} | {faults} | {load} | {router}"
            f" | {median(r.goodput for r in group):.3f}"
            f" | {median(r.refused for r in group):.3f}"
            f" | {median(r.missed for r in group):.3f}"
            f" | {median(r.wasted_prefill for r in group):.4f}"
            f" | {median(r.ttft_p95 for r in group):.3f}"
            f" | {median(r.per_token_p95 for r in group) * 1e3:.1f}"
            f" | {sum(r.violations for r in group)}"
            f" | {sum(r.leaked_reservations for r in group)} |"
        )
    return "\n".join(lines)


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenarios", default="dakar,oberbayern,hall-at-target")
    parser.add_argument("--seeds", default=",".join(map(str, SEEDS)))
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--output", type=Path, default=OUTPUT)
    chosen = parser.parse_args()
    wanted = specs(chosen.scenarios.split(","), [int(seed) for seed in chosen.seeds.split(",")])
    rows = run_all(wanted, chosen.workers)
    chosen.output.parent.mkdir(parents=True, exist_ok=True)
    records = [asdict(row) for row in rows]
    chosen.output.write_text(json.dumps(records, indent=1) + "\n", encoding="utf-8")
    draw(rows, chosen.output.with_suffix(".png"))
    print(table(rows))


if __name__ == "__main__":
    main()
