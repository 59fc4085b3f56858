"""Faults of a soak that find nothing to strike."""

import asyncio
from types import SimpleNamespace

import pytest

from croftchute.soak.injector import Injector
from croftchute.soak.plan import FaultKind, PlannedFault

STRIKES = [
    Injector._copy_answers,
    Injector._answer_without_end,
    Injector._trouble_worker,
    Injector._rest_worker,
    Injector._harm_worker_link,
    Injector._spoil_entry,
]


@pytest.mark.parametrize("strike", STRIKES, ids=lambda strike: strike.__name__)
def test_a_fault_passes_while_no_worker_is_live(strike):
    """The fault: a division by zero ended the run, after all workers had been told to leave."""
    injector = SimpleNamespace(world=SimpleNamespace(live=lambda service=None: []))
    asyncio.run(strike(injector, PlannedFault(at=0.0, kind=FaultKind.ANSWERS_COPIED, pick=3)))
