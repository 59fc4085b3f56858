from croftchute.systems.stage_balance import DecodePressure, wanted_change
from croftchute.systems.worker_table import WorkerTable
from croftchute.tables.routing import Stage, Worker, WorkerState


def beliefs(prefills, decodes, state=WorkerState.READY):
    table = WorkerTable()
    for stage, count in ((Stage.PREFILL, prefills), (Stage.DECODE, decodes)):
        for number in range(count):
            name = f"{stage.value}-{number}"
            entry = Worker(
                id=name, service="s", host="h", port=1, zone="z", stage=stage, state=state
            )
            table.upsert(entry, 0.0)
    return list(table.beliefs_by_id.values())


def test_nothing_is_ordered_without_need():
    assert wanted_change(beliefs(2, 3), asks=100, refused=0) is None
    assert wanted_change(beliefs(2, 3), asks=2, refused=2) is None


def test_pressure_takes_an_idle_prefill_worker():
    found = beliefs(2, 3)
    found[0].tokens_in_flight = 500
    change = wanted_change(found, asks=40, refused=10)
    assert change is not None
    assert (change.worker.id, change.stage) == ("prefill-1", Stage.DECODE)


def test_the_last_prefill_worker_of_a_service_stays():
    assert wanted_change(beliefs(1, 4), asks=40, refused=40) is None
    assert wanted_change(beliefs(2, 7), asks=40, refused=40) is None


def test_without_any_decode_worker_one_is_made_at_once():
    change = wanted_change(beliefs(1, 0), asks=0, refused=0)
    assert change is not None
    assert change.stage is Stage.DECODE


def test_draining_workers_are_given_no_orders():
    assert wanted_change(beliefs(2, 0, WorkerState.DRAINING), asks=0, refused=0) is None


def test_pressure_is_of_the_last_seconds():
    pressure = DecodePressure()
    for second in range(4):
        pressure.note(float(second), is_refused=True)
    assert pressure.counts(4.0) == (4, 4)
    assert pressure.counts(60.0) == (0, 0)
