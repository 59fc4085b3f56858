"""The store comes back from a copy that names an earlier life of a worker."""

import asyncio

import pytest
from platform_fleet import ask, fleet, run, until
from test_lives import restart
from test_restored_store import knows_era, restore, write_much


@pytest.mark.parametrize("born_ms", [1000, None])
def test_an_earlier_life_that_the_copy_names_ends_no_answer_of_the_present_one(born_ms):
    """It was taken for a restart: the connections to the process that serves were closed."""

    async def body():
        async with fleet() as made:
            made.store.era = 3
            worker = await made.add_worker("w0", born_ms=born_ms)
            box = await made.add_box()
            await made.ready(box)
            copy = made.store.copy()
            write_much(made)
            again = await restart(made, worker, born_ms=2000, service="desk", work_s=2.0)
            await until(lambda: "w0@2000" in box.state.workers.tracked_by_id)
            asking = asyncio.create_task(ask(box, "/once/x", "r1"))
            await until(lambda: again.ran == ["r1"])
            restore(made, copy)
            await knows_era(box, 4)
            assert (await asking).status == 200

    run(body)
