"""What tests of streams share: a box before engines, and what came of a stream."""

from croftchute.peers.messages import OriginNews
from croftchute.tables.origins import StreamOrigin, stream_key

PARTS = "X-Croftchute-Prompt-Prefix: 5c1e:3,91bd:7"


async def engines(made, *, decodes=2, prefills=1, memory_mb=0.0, **options):
    decode = [
        await made.add_worker(f"d{n}", service="llm", stage="decode", **options)
        for n in range(decodes)
    ]
    prefill = [
        await made.add_worker(f"p{n}", service="llm", stage="prefill") for n in range(prefills)
    ]
    box = await made.add_box(memory_mb=memory_mb)
    await made.ready(box)
    return box, decode, prefill


def numbers(answer):
    return [int(event.split(b"\n")[0].removeprefix(b"id: ")) for event in answer.events]


def ran(workers, request_id="r1"):
    return sum(worker.runs_of(request_id) for worker in workers)


def prefer(box, worker_id):
    """Have a box choose one worker before all others of its stage."""
    tracked_workers = box.state.workers.tracked_by_id
    for other in tracked_workers.values():
        if other.worker.stage is tracked_workers[worker_id].worker.stage:
            box.state.workers.note_failure(other.worker.id, 2.0, box.state.clock())
    tracked_workers[worker_id].failures = 0.0


def began(box, worker_id, request_id="r0"):
    """Have a box know that a try began at a worker; return the header that names the try."""
    worker = box.state.workers.tracked_by_id[worker_id].worker
    origin = StreamOrigin(service=worker.service, build=worker.build)
    stream = stream_key("", request_id)
    box.origins.hear(OriginNews(stream=stream, alias=0, origin=origin.digest))
    return f"Resumes: {request_id}"
