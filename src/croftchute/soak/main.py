"""``make soak``: runs of the soak by seed, with a report; exit status 1 if a promise was broken."""

from __future__ import annotations

import asyncio
import json
import secrets
import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path

import fire

from croftchute.soak.plan import FaultKind, SoakSpec
from croftchute.soak.run import SoakResult, run_soak

MAX_SEED = 1 << 31
SHOWN_VIOLATIONS = 12


def soak(
    *,
    seeds: int = 5,
    first_seed: int | None = None,
    seconds: float = 15.0,
    boxes: int = 3,
    callers: int = 16,
    planned: bool = False,
    broken: str = "",
    kinds: str = "",
    keep: str = "",
) -> int:
    """Run ``seeds`` seeds for ``seconds`` of faults each; logs of broken runs stay in ``keep``.

    Fresh seeds are drawn unless ``first_seed`` is given. ``planned`` strikes with planned work
    only, so that lost requests can be told; ``broken`` puts a fault into the boxes on purpose;
    ``kinds`` names the kinds of faults to draw from, joined by "+" (all, if it is empty).
    """
    total: Counter[str] = Counter()
    injected: Counter[str] = Counter()
    folder = Path(keep) if keep else Path(tempfile.mkdtemp(prefix="croftchute-soak-"))
    names = kinds.split("+") if kinds else list(FaultKind)
    chosen = tuple(FaultKind(name) for name in names)
    for number in range(seeds):
        seed = first_seed + number if first_seed is not None else secrets.randbelow(MAX_SEED)
        spec = SoakSpec(
            seed=seed,
            seconds=seconds,
            boxes=boxes,
            callers=callers,
            only_planned=planned,
            broken=broken,
            kinds=chosen,
        )
        result = run_in(spec, folder / f"seed-{seed}")
        report(result)
        total += Counter(tries=result.tries, runs=result.runs, violations=len(result.violations))
        total += Counter(seeds=1, seeds_with_times_judged=int(result.judged_times))
        total += Counter(seeds_broken=int(bool(result.violations)))
        injected += Counter({kind.value: count for kind, count in result.injected.items()})
    print(json.dumps({"total": dict(total), "injected": dict(injected)}))
    return 1 if total["violations"] else 0


def run_in(spec: SoakSpec, folder: Path) -> SoakResult:
    """One run; its folder stays only if a promise was broken."""
    folder.mkdir(parents=True, exist_ok=True)
    result = asyncio.run(run_soak(spec, folder))
    if not result.violations:
        shutil.rmtree(folder)
    return result


def report(result: SoakResult) -> None:
    """Print one line about a run, and one for each of its first violations."""
    line = {
        "seed": result.spec.seed,
        "tries": result.tries,
        "runs": result.runs,
        "faults": sum(result.injected.values()),
        "statuses": {str(status): count for status, count in sorted(result.statuses.items())},
        "lag_ms": round(result.lag_s * 1000),
        "times_judged": result.judged_times,
        "violations": len(result.violations),
    }
    print(json.dumps(line), flush=True)
    for violation in result.violations[:SHOWN_VIOLATIONS]:
        print(f"  {violation.promise}: {violation.request_id} {violation.detail}", flush=True)


def main() -> None:
    """Run from the command line."""
    sys.exit(fire.Fire(soak, serialize=lambda _: None))


if __name__ == "__main__":
    main()
