"""Workers that send bytes without end behind whole answers: they are given a rest."""

import asyncio

import pytest
from platform_fleet import ask, fleet, run
from test_endless_answers import HEAD, EndlessServer, list_at

from croftchute.standins.platform_worker import PlatformWorker

WHOLE = HEAD + "Content-Length: 2\r\n\r\nok"
SURPLUS_BY_NAME = {
    "zeros": "0" * 1000,
    "answers": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 30,
}


@pytest.mark.parametrize("name", SURPLUS_BY_NAME)
def test_a_worker_that_sends_more_behind_each_answer_is_called_less(name):
    """It was called again each time, and some megabytes were read for each answer."""

    async def body():
        async with fleet() as made:
            endless = await EndlessServer(name="header lines").start()
            endless.first, endless.repeated = WHOLE, SURPLUS_BY_NAME[name]
            await list_at(made, PlatformWorker(id="e1"), endless.port, "desk")
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            for number in range(60):
                answer = await ask(box, "/safe/x", f"r{number}")
                assert answer.status == 200
                await asyncio.sleep(0.02)
            assert 1 <= endless.asked <= 10
            endless.close()

    run(body)
