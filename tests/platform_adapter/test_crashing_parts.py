"""An incident: requests of one kind crashed 37 engines of a service that has nine.

Seen: engines crashed in groups of two to four, again and again, each time under a request that no
box had seen before; all of these requests had one part of their prompts in common.

Cause: crashes were recorded by whole request, so that each new request with the part was unknown
until it had crashed three engines itself.
"""

import asyncio

import pytest
from part_fleet import BAD, CONTACT_S, FIRST, begun_share, part_config, part_fleet, parts_header
from platform_fleet import ask, fleet, run, until

from croftchute.forwarding.store.part_register import PREFIX
from croftchute.systems.crash_records import CRASHES_TO_REFUSE
from croftchute.systems.part_crashes import FIRST_TRIAL_S, UNKNOWN_SPAN_S

MOST_AFTER_THE_FIFTH = 3
"""Requests with such a part that may reach workers later than the contact time after the fifth."""

SOUND_PER_S = 12.0
BAD_PER_S = 4.0


def other(made):
    """A part that a few prompts share."""
    return f"a{made.rng.randrange(12):x}"


def check_bounds(made, sound, *, bad=BAD, begun_from=0.5):
    """The users' bounds: what reaches workers, and what sound requests get meanwhile."""
    assert len(made.reached(bad, made.known_at)) <= MOST_AFTER_THE_FIFTH
    late = [one for one in sound if one.at > made.crashed_at[0] + 2 * CONTACT_S]
    assert len(late) >= 20
    assert begun_share(late) >= begun_from


@pytest.mark.parametrize(
    "place",
    [
        lambda made: (FIRST, BAD, other(made)),
        lambda made: (BAD, other(made)),
        lambda made: (FIRST, *(f"c{n}" for n in range(10)), BAD),
    ],
    ids=["between_others", "first", "twelve_parts"],
)
def test_requests_with_a_part_that_crashes_workers_stop_reaching_workers(place):
    """Guards against requests, no two alike, that crash worker after worker by a common part."""

    async def body():
        async with fleet(config=part_config()) as made:
            parts = await part_fleet(made)
            sound, bad = await asyncio.gather(
                parts.stream(lambda: (FIRST, other(parts)), SOUND_PER_S, 9.0),
                parts.stream(lambda: place(parts), BAD_PER_S, 9.0),
            )
            check_bounds(parts, sound)
            assert not any(one.status == 200 for one in bad)
            assert len(parts.crashed_at) <= 10

    run(body)


async def crash_until_refused(made, *, box=None):
    """Send requests with a bad part one by one until a box refuses the part for crashes.

    Crashes in one moment may have any reason, so the requests don't all come in one.
    """
    for number in range(30):
        await made.send((FIRST, BAD, f"e{number}"), box=box)
        if any(one.state.parts.refusal_of((FIRST, BAD)) is not None for one in made.boxes):
            return
        await asyncio.sleep(UNKNOWN_SPAN_S)
        # A worker may be needed that has not come back yet.
        await until(lambda: len(made.decode) >= 2)
    raise AssertionError("the part is not refused")


def granted_trials(made):
    """How many trials of refused parts boxes were granted."""
    return sum(
        count
        for box in made.boxes
        for labels, count in box.state.metrics.part_trials.get_all()
        if labels["outcome"] == "granted"
    )


def test_a_refusal_is_immediate_true_and_tells_when_to_come_back():
    async def body():
        async with fleet(config=part_config()) as made:
            parts = await part_fleet(made, boxes=1)
            await crash_until_refused(parts)
            before = len(parts.reached(BAD, 0.0))
            started = asyncio.get_running_loop().time()
            tried = await parts.send((FIRST, BAD, "a1"))
            assert asyncio.get_running_loop().time() - started < 0.3
            assert tried.status == 503
            assert 0.0 < float(tried.headers["retry-after"]) <= 3600.0
            assert len(parts.reached(BAD, 0.0)) == before
            await parts.settle()
            assert (await parts.send((FIRST, "a1"), tries=3)).is_whole

    run(body)


def test_a_box_that_saw_no_crash_refuses_the_part():
    async def body():
        async with fleet(config=part_config()) as made:
            parts = await part_fleet(made)
            await crash_until_refused(parts, box=parts.boxes[0])
            other = parts.boxes[2].state.parts
            await until(lambda: other.refusal_of((FIRST, BAD)) is not None)
            assert (await parts.send((FIRST, BAD), box=parts.boxes[2])).status == 503

    run(body)


def test_a_box_that_starts_later_refuses_the_part():
    """All boxes may be replaced at once; none of those that knew is left to tell."""

    async def body():
        async with fleet(config=part_config()) as made:
            parts = await part_fleet(made, boxes=1)
            await crash_until_refused(parts)
            await until(lambda: any(PREFIX in key for key in made.store.items_by_key))
            later = await made.add_box("box-9")
            await made.ready(later, workers=3)
            await until(lambda: later.state.parts.refusal_of((FIRST, BAD)) is not None)
            crashed = len(parts.crashed_at)
            await parts.settle()
            assert (await parts.send((FIRST, BAD), box=later)).status == 503
            sound = await parts.send((FIRST, "a1"), box=later, tries=3)
            assert sound.is_whole
            assert len(parts.crashed_at) == crashed

    run(body)


def test_a_part_that_is_only_met_beside_another_has_no_sound_request_refused():
    async def body():
        async with fleet(config=part_config()) as made:
            parts = await part_fleet(made)
            sound, _ = await asyncio.gather(
                parts.stream(lambda: (FIRST, "a1"), SOUND_PER_S, 9.0),
                parts.stream(lambda: (FIRST, BAD, "a1"), BAD_PER_S, 9.0),
            )
            check_bounds(parts, sound)
            assert not any(one.status == 503 for one in sound[-20:])

    run(body)


def test_two_parts_that_crash_workers_at_once():
    async def body():
        async with fleet(config=part_config()) as made:
            parts = await part_fleet(made, bad={"bad1", "bad2"})
            sound, _, _ = await asyncio.gather(
                parts.stream(lambda: (FIRST, other(parts)), SOUND_PER_S, 9.0),
                parts.stream(lambda: (FIRST, "bad1", other(parts)), BAD_PER_S, 9.0),
                parts.stream(lambda: (FIRST, "bad2", other(parts)), BAD_PER_S, 9.0),
            )
            late = parts.crashed_at[min(9, len(parts.crashed_at) - 1)] + CONTACT_S
            for bad in ("bad1", "bad2"):
                assert len(parts.reached(bad, parts.known_at)) <= MOST_AFTER_THE_FIFTH
            late_sound = [one for one in sound if one.at > late] or sound[-20:]
            assert begun_share(late_sound) >= 0.9

    run(body)


def test_a_part_that_served_well_before_it_crashed_workers():
    async def body():
        async with fleet(config=part_config()) as made:
            parts = await part_fleet(made, bad=())
            served = await parts.stream(lambda: (FIRST, BAD, other(parts)), 8.0, 2.0)
            assert all(one.is_whole for one in served)
            parts.bad = frozenset({BAD})
            for worker in parts.decode:
                worker.crashes_on_parts = parts.bad
            sound, _ = await asyncio.gather(
                parts.stream(lambda: (FIRST, other(parts)), SOUND_PER_S, 9.0),
                parts.stream(lambda: (FIRST, BAD, other(parts)), BAD_PER_S, 9.0),
            )
            check_bounds(parts, sound)

    run(body)


def test_callers_who_repeat_at_once_and_workers_that_write_a_little_first():
    async def body():
        async with fleet(config=part_config()) as made:
            parts = await part_fleet(made, crash_after_events=3)
            sound, _ = await asyncio.gather(
                parts.stream(lambda: (FIRST, other(parts)), SOUND_PER_S, 9.0, tries=3),
                parts.stream(lambda: (FIRST, BAD, other(parts)), BAD_PER_S, 9.0, tries=3),
            )
            check_bounds(parts, sound)

    run(body)


def test_sound_requests_are_served_when_workers_are_lost_for_other_reasons():
    """Guards against a part of all sound requests being refused for workers that were killed."""

    async def body():
        async with fleet(config=part_config()) as made:
            parts = await part_fleet(made, bad=())
            sending = asyncio.create_task(
                parts.stream(lambda: (FIRST, other(parts)), SOUND_PER_S, 7.0, tries=3)
            )
            for count in (3, 9, 5, 9):
                await asyncio.sleep(1.3)
                await asyncio.gather(*(parts.kill(worker) for worker in parts.decode[:count]))
            sound = await sending
            assert not any(box.state.parts.refusals for box in parts.boxes)
            assert all(one.has_begun for one in sound[-12:])

    run(body)


def test_a_part_is_free_again_once_it_was_tried_and_served_well():
    """The first trial comes some seconds after the last crash, at one box at a time."""

    async def body():
        async with fleet(config=part_config()) as made:
            parts = await part_fleet(made)
            await crash_until_refused(parts)
            parts.bad = frozenset()
            for worker in made.workers_by_id.values():
                worker.crashes_on_parts = frozenset()
            await parts.settle()
            states = [box.state for box in parts.boxes]
            await until(lambda: all(one.parts.refusal_of((FIRST, BAD)) for one in states))
            due = max(one.parts.refusal_of((FIRST, BAD)).left_s(one.clock()) for one in states)
            assert due <= FIRST_TRIAL_S
            await asyncio.sleep(due + 0.05)
            sent = [parts.send((FIRST, BAD), box=box) for box in parts.boxes for _ in range(3)]
            tried = await asyncio.gather(*sent)
            assert granted_trials(parts) == 1
            assert any(one.status == 200 for one in tried)
            await until(lambda: not any(one.parts.refusals for one in states))
            for box in parts.boxes:
                assert (await parts.send((FIRST, BAD), box=box, tries=3)).is_whole

    run(body)


def test_a_trial_that_crashes_a_worker_is_the_last_for_long():
    async def body():
        async with fleet(config=part_config()) as made:
            parts = await part_fleet(made)
            await crash_until_refused(parts)
            crashed = len(parts.crashed_at)
            state = parts.boxes[0].state
            await until(lambda: state.parts.refusal_of((FIRST, BAD)) is not None)
            await asyncio.sleep(state.parts.refusal_of((FIRST, BAD)).left_s(state.clock()) + 0.05)
            for _ in range(3):
                await asyncio.gather(*(parts.send((FIRST, BAD), box=box) for box in parts.boxes))
            assert len(parts.crashed_at) == crashed + 1
            refusal = state.parts.refusal_of((FIRST, BAD))
            assert refusal.left_s(state.clock()) > 500.0

    run(body)


def test_no_trial_is_made_while_the_store_does_not_answer():
    async def body():
        async with fleet(config=part_config()) as made:
            parts = await part_fleet(made, boxes=1)
            await crash_until_refused(parts)
            crashed = len(parts.crashed_at)
            made.store.faults.is_silent = True
            state = parts.boxes[0].state
            await asyncio.sleep(state.parts.refusal_of((FIRST, BAD)).left_s(state.clock()) + 0.05)
            assert (await parts.send((FIRST, BAD))).status == 503
            assert len(parts.crashed_at) == crashed
            made.store.faults.is_silent = False

    run(body)


def test_prompts_with_a_part_that_crashes_the_workers_that_read_it_ahead_are_read_elsewhere():
    """Guards against one prefill worker lost for each request with the part."""

    async def body():
        async with fleet(config=part_config()) as made:
            parts = await part_fleet(made, prefills=6, bad=(), bad_to_read={BAD})
            for number in range(16):
                tried = await parts.send((FIRST, BAD, f"e{number}"), box=parts.boxes[0])
                # Reading anew where a worker crashed is a retry, which the budget may deny.
                assert tried.status == 200 or number < 5
                sound = await parts.send((FIRST, f"e{number}"), box=parts.boxes[0])
                assert sound.is_whole and sound.status == 200
            ended = [worker for worker in made.workers_by_id.values() if worker.has_crashed]
            assert len(ended) <= 5

    run(body)


@pytest.mark.parametrize(
    "header",
    [
        "",
        ",,,:,",
        f"{BAD}:10",
        ",".join(["5c1e:1"] * 200),
        ",".join(f"{n:x}:1" for n in range(400)),
        "f" * 3000 + ":1,aa:2",
        "ü/../:x,zz:-1,aa",
        f"{FIRST}:10,{BAD}x:10,aa:1",
    ],
    ids=["empty", "commas", "bad_alone", "repeated", "many", "long", "odd", "alike"],
)
def test_odd_prompts_are_served_while_a_part_is_refused(header):
    async def body():
        async with fleet(config=part_config()) as made:
            parts = await part_fleet(made, boxes=1, crash_after_events=0)
            await crash_until_refused(parts)
            await parts.settle()
            extra = (f"X-Croftchute-Prompt-Prefix: {header}",) if header else ()
            for number in range(3):
                answer = await ask(parts.boxes[0], "/resume/odd", f"odd{number}", extra=extra)
                assert b"ends_workers" not in answer.body
                if answer.status == 200:
                    break
            assert answer.status == 200 and answer.is_whole

    run(body)


def test_requests_without_parts_are_still_refused_by_what_they_crashed_themselves():
    async def body():
        async with fleet(config=part_config()) as made:
            parts = await part_fleet(made, boxes=1, crashes_on=b"crashes")
            for number in range(6):
                answer = await ask(parts.boxes[0], "/resume/x", f"r{number}", body=b"crashes")
            assert answer.status == 503
            assert len(parts.crashed_at) == CRASHES_TO_REFUSE
            sound = await ask(parts.boxes[0], "/resume/x", "sound", body=b"sound")
            assert sound.status == 200 and sound.is_whole

    run(body)


def test_a_request_that_crashes_workers_by_itself_has_no_part_refused():
    async def body():
        async with fleet(config=part_config()) as made:
            parts = await part_fleet(made, crashes_on=b"crashes")
            for _ in range(2):
                await parts.send((FIRST, "a1"))
            extra = (parts_header([FIRST, "a1", "0own"]),)
            for number in range(9):
                box = parts.boxes[number % 3]
                await ask(box, "/resume/x", f"r{number}", body=b"crashes", extra=extra)
            sound = await parts.stream(lambda: (FIRST, "a1"), SOUND_PER_S, 2.0)
            assert not any(one.status == 503 for one in sound)

    run(body)


def test_an_entry_of_refused_parts_that_cannot_be_read_is_passed_over():
    async def body():
        async with fleet(config=part_config()) as made:
            made.store.put(PREFIX + "aa", {"parts": "aa", "crash_by_life": 7})
            made.store.put(PREFIX + "bb", {"parts": ["bb"], "crash_by_life": {}})
            parts = await part_fleet(made, boxes=1)
            await until(lambda: parts.boxes[0].part_register._has_read)
            assert not parts.boxes[0].state.parts.by_part
            assert (await parts.send((FIRST, "aa"))).has_begun

    run(body)


def test_a_box_that_no_peer_reaches_learns_of_the_part_from_the_store_with_its_first_crash():
    """Guards against each hall that is cut off from the others losing as many workers again."""

    async def body():
        async with fleet(config=part_config()) as made:
            parts = await part_fleet(made, boxes=1)
            apart = await made.add_box("box-9", zone="b")
            await made.ready(apart)
            await crash_until_refused(parts, box=parts.boxes[0])
            await until(lambda: any(PREFIX in key for key in made.store.items_by_key))
            await parts.settle()
            await until(lambda: parts._known(apart) == {one.id for one in parts.decode})
            crashed = len(parts.crashed_at)
            assert not apart.state.parts.refusals
            await parts.send((FIRST, BAD), box=apart)
            await until(lambda: apart.state.parts.refusal_of((FIRST, BAD)) is not None)
            for _ in range(4):
                assert (await parts.send((FIRST, BAD), box=apart)).status == 503
            assert len(parts.crashed_at) <= crashed + 2

    run(body)
