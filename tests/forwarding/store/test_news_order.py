"""All orders in which news of workers may reach a box, from whichever source.

Guards against DRAIN: a box used a worker again that it had known to have left, or kept one out that
had begun to serve. The searches go on until no order leads to a state that was not seen before.
"""

import json
import pickle
from collections import deque
from dataclasses import dataclass
from types import SimpleNamespace

import pytest
from croftchute_platform.headers import PlatformCallers, PlatformWorkers
from croftchute_platform.store import PlatformVocabulary

from croftchute.daemon.router_state import make_state
from croftchute.forwarding.store.catch_up import catch_ups
from croftchute.forwarding.store.store_follower import StoreFollower
from croftchute.router_settings import RouterSettings
from croftchute.storage.position import era_of, position
from croftchute.storage.watched import Changes, Listing, StoredItem

ENTRY = {
    "Service": "s",
    "Address": "127.0.0.1:80",
    "Zone": "a",
    "Version": "v1",
    "Slots": 1,
    "State": "ready",
    "ColdLeftMs": 0,
    "Sequence": 0,
}


@dataclass(frozen=True)
class Write:
    """A change of the store: the entry of a worker, or its removal."""

    at: int
    name: str
    software: str = ""
    born: int | None = None

    @property
    def item(self):
        entry = ENTRY | {"Version": self.software}
        if self.born is not None:
            entry["born"] = self.born
        return StoredItem(
            key=f"servers/{self.name}", value=json.dumps(entry).encode(), revision=self.at
        )

    @property
    def life(self):
        return (self.software, self.born) if self.software else None


class History:
    """What an era of the store held at each position; ``copied`` is what it began with."""

    def __init__(self, *writes, copied=()):
        self.copied = copied
        self.writes = writes

    def entries(self, at):
        found = {write.name: write for write in self.copied}
        for write in self.writes:
            if write.at <= at:
                found[write.name] = write
        return [write for write in found.values() if write.software]

    def life(self, name, at):
        return next((write.life for write in self.entries(at) if write.name == name), None)

    def listing(self, at, then=None):
        """All entries at a position; those of later names at a later one, as on another page."""
        first, second = self.entries(at), self.entries(then or at)
        items = [write.item for write in first if write.name < "m"]
        items += [write.item for write in second if write.name >= "m"]
        return Listing(items=tuple(items), revision=at)

    def changes(self, after, to):
        last = {write.name: write for write in self.writes if after < write.at <= to}
        newest = max((write.at for write in last.values()), default=0)
        return Changes(
            written=tuple(write.item for write in last.values() if write.software),
            removed=tuple(f"servers/{write.name}" for write in last.values() if not write.software),
            revision=to,
            newest=newest,
        )

    def newest(self, at):
        return max((write.at for write in self.writes if write.at <= at), default=0)


class Box:
    """A follower that is handed news by a test."""

    def __init__(self):
        settings = RouterSettings(
            box="box",
            hall="a",
            callers="127.0.0.1:0",
            health="127.0.0.1:0",
            control="127.0.0.1:0",
            notice_port=0,
            store="127.0.0.1:1",
            peer_keys=("k" * 16,),
        )
        self.state = make_state(settings, callers=PlatformCallers(), workers=PlatformWorkers())
        self.state.log.decide = lambda *_, **__: None
        self.state.clock = lambda: 1.0
        self.follower = StoreFollower(
            state=self.state, store=None, vocabulary=PlatformVocabulary(), on_change=lambda: None
        )
        _, self.catch_up = catch_ups(self.state, self.follower)

    def take(self, source, news):
        if source == "listing":
            self.follower.take_listing(news, source="store")
        elif source == "changes":
            self.follower._workers_changed(news)
        else:
            self.catch_up._take(news, SimpleNamespace(id="peer"))

    def life(self, name):
        """The software and the start of the life that is listed under a name."""
        for tracked in self.state.workers.of_service("s"):
            is_listed = tracked.gone_at is None and not tracked.has_ended
            if tracked.worker.list_name == name and is_listed:
                return tracked.worker.software, tracked.worker.born_ms
        return None


@dataclass
class Reached:
    """A state of the box: its table, where its watch is, and up to where it has had news.

    ``lives`` are those that were listed, by their worker's name.
    """

    table: object
    after: int = 0
    told: int = 0
    path: tuple = ()
    has_listed: bool = False
    lives: frozenset = frozenset()

    def key(self):
        records = sorted(
            (name, repr(tracked.record), tracked.gone_at is None)
            for name, tracked in self.table.tracked_by_id.items()
        )
        tombstones = sorted(
            (name, repr(removed.record), removed.came_back is None)
            for name, removed in self.table.removed._removed_by_name.items()
        )
        bounds = (
            self.table.known_to,
            self.table.revision,
            self.table.copied_to,
            self.table.listed_to,
            self.has_listed,
        )
        lives = sorted(map(repr, self.lives))
        return repr((records, tombstones, bounds, lives, self.after, self.told))


def search(box, steps, check, *, max_states):
    """Hand the box news in all orders; ``steps`` gives what may come next in a state."""
    first = Reached(table=box.state.workers)
    known, left = {first.key()}, deque([first])
    while left:
        reached = left.popleft()
        table = pickle.dumps(reached.table)
        for name, source, news, after, told in steps(reached):
            box.state.workers = pickle.loads(table)
            box.take(source, news)
            found = Reached(
                table=box.state.workers,
                after=max(reached.after, after),
                told=max(reached.told, told),
                path=(*reached.path, name),
                has_listed=reached.has_listed or source == "listing",
                lives=reached.lives | {(each, box.life(each)) for each in ("b", "n")},
            )
            check(found)
            if found.key() not in known:
                known.add(found.key())
                left.append(found)
                assert len(known) < max_states
    return len(known)


PLANS = {
    "left": [("b", "v1"), ("n", "v1"), ("b", ""), ("n", ""), ("n", "v1")],
    "reborn": [("n", "v1", 1000), ("b", "v1"), ("n", "v2", 2000), ("b", ""), ("n", "")],
    "back": [("n", "v1"), ("n", ""), ("b", "v1"), ("n", "v1"), ("b", "")],
}


@pytest.mark.parametrize("plan", PLANS)
def test_no_order_of_news_brings_a_worker_back_or_keeps_one_out(plan):
    """A list by another box, or a slow listing, undid what a watch had said."""
    writes = [Write(number, *what) for number, what in enumerate(PLANS[plan], start=1)]
    history, last = History(*writes), len(writes)
    box = Box()

    def steps(reached):
        for at in range(last + 1):
            yield f"list {at}", "listing", history.listing(at), at, at
            for then in range(at + 1, last + 1):
                yield f"list {at}-{then}", "listing", history.listing(at, then), at, at
            for rank, revision in enumerate(
                {history.newest(at), max((w.at for w in history.entries(at)), default=0)}
            ):
                known = Listing(items=history.listing(at).items, revision=revision)
                is_taken = revision > reached.table.known_to
                yield f"peer {at}/{rank}", "peer", known, 0, revision if is_taken else 0
            if reached.has_listed and at > reached.after:
                yield f"watch {at}", "changes", history.changes(reached.after, at), at, at

    def check(reached):
        for name in {write.name for write in writes}:
            possible = {history.life(name, at) for at in range(reached.told, last + 1)}
            assert box.life(name) in possible, (name, reached.path)

    assert search(box, steps, check, max_states=20_000) > 50


@pytest.mark.parametrize("first_born", [1000, None])
@pytest.mark.parametrize("is_removed", [False, True])
def test_no_order_of_news_brings_an_ended_life_back_with_older_copies(first_born, is_removed):
    """Two restorations within seconds: the second copy had the life that had ended before both."""
    early, late = "v1", "v2"
    old = Write(1, "n", early, first_born)
    new = Write(2, "n", late, 2000)
    last_of_first = Write(3, "n", "" if is_removed else late, None if is_removed else 2000)
    eras = {
        0: History(old, new, last_of_first),
        1: History(
            Write(position(1, 3), "b", "v1"),
            Write(position(1, 4), "n", late, 2000),
            copied=(Write(position(1, 1), "n", early, first_born),),
        ),
        2: History(
            Write(position(2, 5), "n", late, 2000),
            copied=(Write(position(2, 1), "n", early, first_born),),
        ),
    }
    ends = {0: 3, 1: position(1, 4), 2: position(2, 5)}
    bases = {0: 0, 1: position(1, 2), 2: position(2, 3)}
    box = Box()

    def steps(reached):
        for era, history in eras.items():
            if era < era_of(reached.told):
                continue
            for at in range(bases[era], ends[era] + 1):
                yield f"list {at}", "listing", history.listing(at), at, at
                known = Listing(
                    items=history.listing(at).items,
                    revision=max(history.newest(at), position(era, 0)),
                )
                is_taken = known.revision > reached.table.known_to
                told = known.revision if is_taken else 0
                yield f"peer {at}", "peer", known, 0, told
                is_followed = reached.has_listed and era_of(reached.after) == era
                if is_followed and at > reached.after:
                    yield f"watch {at}", "changes", history.changes(reached.after, at), at, at

    def check(reached):
        if ("n", (late, 2000)) in reached.lives:
            assert box.life("n") != (early, first_born), reached.path
        if reached.told >= ends[2]:
            assert box.life("n") == (late, 2000), reached.path

    assert search(box, steps, check, max_states=20_000) > 50
