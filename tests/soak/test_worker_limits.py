"""What the soak takes for too many requests at a worker in need."""

from types import SimpleNamespace

from croftchute.soak.disturbances import Disturbances
from croftchute.soak.worker_limits import LimitingWorkers, Need
from croftchute.standins.platform_caller import RequestKind, Try
from croftchute.standins.platform_worker import PlatformWorker
from croftchute.standins.worker_records import Arrival, Run

START = 100.0
BOXES = ("box-1", "box-2", "box-3")


def found(*, per_box, disturbed="", told=BOXES, life_of=lambda at: 1):
    """What is found of requests at an even pace through three boxes, from 5 to 8 s into a need."""
    worker = PlatformWorker(id="w1")
    tries, lives = {}, {}

    def came(box, at):
        number = f"r{len(tries)}"
        attempt = Try(
            request_id=number,
            kind=RequestKind.ONCE,
            path="/",
            body=b"",
            box=box,
            sent_at=at,
            key="",
        )
        attempt.ended_at, attempt.status = at + 0.01, 200
        attempt.is_whole = True
        tries[number], lives[number] = attempt, (life_of(at), life_of(at))
        worker.arrivals.append(Arrival(request_id=number, at=at))
        worker.runs.append(Run(request_id=number, path="/", body=b"", started_at=at))

    for box in told:
        came(box, START + 1.0)
    for box in BOXES:
        for n in range(per_box):
            came(box, START + 5.0 + 3.0 * n / per_box)
    disturbances = Disturbances()
    if disturbed:
        disturbances.note(disturbed, START + 4.0, START + 4.5)
    checks = LimitingWorkers(world=None, disturbances=disturbances)
    listed = SimpleNamespace(worker=worker)
    checks.needs.append(Need(listed=listed, start=START, end=START + 12.0, most_per_s=2.0))
    traffic = SimpleNamespace(tries_by_id=tries, lives_by_id=lives)
    return list(checks.violations(traffic))


def test_as_many_as_are_allowed_are_fine_and_one_more_is_not():
    assert found(per_box=5) == []
    assert len(found(per_box=6)) == 1


def test_boxes_that_were_not_told_or_were_struck_do_not_count():
    assert found(per_box=6, told=BOXES[:2]) == []
    assert found(per_box=6, disturbed="box-2") == []
    assert found(per_box=6, life_of=lambda at: int(at > START + 3.0)) == []


def test_a_worker_whose_link_was_harmed_is_not_judged():
    assert found(per_box=30, disturbed="w1") == []
