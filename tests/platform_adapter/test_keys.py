"""Keys of organisations: who is let in, what workers see, and what nobody gets to see."""

import asyncio

import pytest
from platform_fleet import (
    ask,
    bearer,
    config,
    fleet,
    organisation,
    read_answer,
    request_bytes,
    route,
    run,
    until,
)

CREW = organisation("crew", "crew-key-1", "crew-key-2", Priority=3)
CLERKS = organisation("clerks", "clerks-key")
TENANT = "x-croftchute-tenant"
OPEN = route("open", "/open/", "idempotent", "desk", AllowAnonymous=True)


def keyed(version=7, organisations=(CREW, CLERKS)):
    routes = [*config()["Routes"], OPEN]
    return config(version, routes=routes, organisations=organisations)


async def put_config(made, box, document):
    made.store.put("op/config", document)
    await until(lambda: box.state.table.version == document["Version"])


@pytest.mark.parametrize(
    "lines",
    [
        (),
        ("Authorization: Bearer nobody",),
        ("Authorization: Bearer crew-key-1x",),
        ("Authorization: Bearer CREW-KEY-1",),
        ("Authorization: Basic crew-key-1",),
        ("Authorization: Bearer",),
        ("Authorization: crew-key-1",),
        ("Authorization: Bearer crew-key-1 clerks-key",),
        ("Authorization: Bearer crew-key-1", "authorization: Bearer crew-key-1"),
        ("Authorization: Bearer crew-key-1", "Authorization: Bearer clerks-key"),
        ("Authorization: Bearer " + "k" * 3000,),
        ("X-Authorization: Bearer crew-key-1", "X-Croftchute-Tenant: crew"),
    ],
)
@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/resume/x", "/stream/x"])
def test_a_request_without_one_sound_key_is_refused_and_meets_no_worker(path, lines):
    async def body():
        async with fleet(config=keyed()) as made:
            worker = await made.add_worker("w1")
            await made.add_worker("d1", service="llm", stage="decode")
            box = await made.add_box()
            await made.ready(box)
            answer = await ask(box, path, extra=lines)
            assert answer.status == 401
            assert answer.headers["www-authenticate"] == "Bearer"
            assert all(not w.received for w in made.workers_by_id.values())
            assert worker.connections == 0

    run(body)


@pytest.mark.parametrize(
    "lines",
    [
        (bearer("crew-key-2"),),
        ("AUTHORIZATION:   bearer   crew-key-2  ",),
        (bearer("crew-key-2"), "Connection: authorization"),
        (bearer("crew-key-2"), "X-Croftchute-Tenant: clerks"),
        (bearer("crew-key-2"), "Connection: x-croftchute-tenant", "X-Croftchute-Tenant: clerks"),
    ],
)
def test_workers_see_the_organisations_name_and_never_the_key(lines):
    async def body():
        async with fleet(config=keyed()) as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            answer = await ask(box, "/once/x", extra=lines)
            assert answer.status == 200
            headers = worker.received[-1].headers
            assert headers[TENANT] == "crew"
            assert "authorization" not in headers
            assert "crew-key-2" not in str(headers)

    run(body)


def test_engines_see_the_organisation_in_both_stages_and_its_priority():
    async def body():
        async with fleet(config=keyed()) as made:
            prefill = await made.add_worker("p1", service="llm", stage="prefill")
            decode = await made.add_worker("d1", service="llm", stage="decode")
            box = await made.add_box()
            await made.ready(box)
            answer = await ask(box, "/stream/x", extra=(bearer("crew-key-1"),), tokens="900,20")
            assert answer.status == 200
            sent = [r for w in (prefill, decode) for r in w.received if r.id == "r1"]
            assert len(sent) == 2
            for received in sent:
                assert received.headers[TENANT] == "crew"
                assert received.headers["x-croftchute-request-priority"] == "3"
                assert "authorization" not in received.headers

    run(body)


def test_a_route_for_anyone_needs_no_key_and_names_no_organisation():
    async def body():
        async with fleet(config=keyed()) as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            forged = ("X-Croftchute-Tenant: crew",)
            assert (await ask(box, "/open/x", extra=forged)).status == 200
            assert TENANT not in worker.received[-1].headers
            assert (await ask(box, "/open/x", "r2", extra=(bearer("crew-key-1"),))).status == 200
            assert worker.received[-1].headers[TENANT] == "crew"
            assert (await ask(box, "/open/x", "r3", extra=(bearer("nobody"),))).status == 401

    run(body)


def test_without_organisations_no_key_is_asked_for_and_none_goes_on():
    async def body():
        async with fleet() as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            lines = (bearer("any"), "X-Croftchute-Tenant: forged")
            assert (await ask(box, "/safe/x", extra=lines)).status == 200
            headers = worker.received[-1].headers
            assert "authorization" not in headers and TENANT not in headers

    run(body)


def test_requests_behind_each_other_on_a_connection_are_each_judged_by_their_own_key():
    async def body():
        async with fleet(config=keyed()) as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            reader, writer = await asyncio.open_connection("127.0.0.1", box.ingress.port)
            writer.write(request_bytes("/safe/x", "r1", extra=(bearer("crew-key-1"),)))
            writer.write(request_bytes("/safe/x", "r2", extra=(bearer("clerks-key"),)))
            writer.write(request_bytes("/safe/x", "r3"))
            answers = [await read_answer(reader) for _ in range(3)]
            writer.close()
            assert [answer.status for answer in answers] == [200, 200, 401]
            seen = {received.id: received.headers[TENANT] for received in worker.received}
            assert seen == {"r1": "crew", "r2": "clerks"}

    run(body)


def test_a_key_smuggled_in_a_body_opens_nothing():
    async def body():
        async with fleet(config=keyed()) as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            inner = request_bytes("/safe/x", "inner", extra=(bearer("crew-key-1"),))
            answer = await ask(box, "/safe/x", "outer", body=inner)
            assert answer.status == 401
            assert worker.received == []

    run(body)


def test_a_key_taken_away_is_refused_also_on_connections_that_stay_open():
    async def body():
        async with fleet(config=keyed()) as made:
            worker = await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            reader, writer = await asyncio.open_connection("127.0.0.1", box.ingress.port)

            async def send(request_id, key):
                writer.write(request_bytes("/safe/x", request_id, extra=(bearer(key),)))
                return (await read_answer(reader)).status

            assert await send("r1", "crew-key-1") == 200
            fewer = organisation("crew", "crew-key-2", "crew-key-3")
            await put_config(made, box, keyed(9, (fewer, CLERKS)))
            assert await send("r2", "crew-key-1") == 401
            assert await send("r3", "crew-key-2") == 200
            assert await send("r4", "crew-key-3") == 200
            moved = organisation("clerks", "crew-key-3")
            await put_config(made, box, keyed(10, (fewer | {"ApiKeys": []}, moved)))
            assert await send("r5", "crew-key-3") == 200
            writer.close()
            assert worker.received[-1].headers[TENANT] == "clerks"

    run(body)


def test_an_older_configuration_brings_no_key_back():
    async def body():
        async with fleet(config=keyed(9, (organisation("crew", "new-key"),))) as made:
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            heard_at = box.state.table_at
            made.store.put("op/config", keyed(7))
            await until(lambda: box.state.table_at > heard_at)
            assert box.state.table.version == 9
            assert (await ask(box, "/safe/x", extra=(bearer("crew-key-1"),))).status == 401
            assert (await ask(box, "/safe/x", "r2", extra=(bearer("new-key"),))).status == 200

    run(body)


def test_keys_stand_in_no_log_line_and_no_metric(capfd):
    async def body():
        async with fleet(config=keyed()) as made:
            await made.add_worker("w1")
            box = await made.add_box()
            await made.ready(box)
            await ask(box, "/safe/x", "r1", extra=(bearer("crew-key-1"),))
            await ask(box, "/safe/x", "r2", extra=(bearer("a-secret-nobody-holds"),))
            box.state.log.writer.flush()
            assert b"crew-key" not in box.state.metrics.text()

    run(body)
    output = capfd.readouterr().out
    assert "held by no organisation" in output
    for key in ("crew-key", "clerks-key", "a-secret-nobody-holds"):
        assert key not in output
