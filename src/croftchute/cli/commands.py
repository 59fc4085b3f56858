"""The commands, as fire finds them: public methods are commands, their arguments are flags."""

from __future__ import annotations

import json as jsonlib
import time
from pathlib import Path
from typing import Any

from croftchute.account.limited_workers import limited_workers
from croftchute.account.log_lines import halls, parse_lines, stories
from croftchute.account.met_workers import met_workers
from croftchute.account.order_tables import order_tables
from croftchute.account.tables import account
from croftchute.cli.fleet import fetch_status, fetch_timelines, find_boxes
from croftchute.config.checks import parse_document
from croftchute.config.documents import Document
from croftchute.config.edits import mark_leaving
from croftchute.config.submit import current, history, submit
from croftchute.errors import Code, CroftchuteError, DocumentError
from croftchute.ids import new_request_id
from croftchute.policies.starlark_policy import compile_policy
from croftchute.storage.etcd import EtcdStore
from croftchute.timeline.merge import as_chrome_trace, as_text, gaps, merge, select

WAIT_STEP_S = 0.1
DEFAULT_STORE = "http://127.0.0.1:2379"


class Commands:
    """croftchute: operate a router for split prefill and decode pools.

    --store names the platform's key-value service, --boxes the admin ports of some boxes
    (host:port, comma-separated); --json prints JSON.
    """

    def __init__(self) -> None:
        self.config = ConfigCommands()
        self.policy = PolicyCommands()

    def status(self, boxes: str, json: bool = False) -> None:
        """Show boxes, revisions and engines, as each reachable box sees them."""
        rows = [fetch_status(box) for box in find_boxes(boxes)]
        if json:
            _print_json(rows)
            return
        for row in rows:
            print(
                f"{row['hall']:<12} {row['box']:<14} {row['state']:<8}"
                f" revision {row['revision']:<6} open {row['open_requests']:<4}"
                f" ranges {row['ranges_version']}"
            )
            for engine in row["engines"]:
                state = "leaving" if engine["leaving"] else "closed" if engine["closed"] else "open"
                print(
                    f"    engine {engine['id']:<14} {state:<8} running {engine['running']:<4}"
                    f" committed {engine['kv_committed']} tokens"
                )

    def account(self, *files: str, request: str = "") -> None:
        """Tell from the decision logs of one or all boxes where service was lost.

        With --request it tells which lives of workers that request met, and which ended under it.
        """
        if not files:
            raise CroftchuteError(Code.BAD_REQUEST, "no log file was named")
        lines = [line for name in files for line in parse_lines(_lines_of(Path(name)))]
        if request:
            print(met_workers(lines, request).text())
            return
        told = list(stories(lines).values())
        tables = [*account(told), limited_workers(lines), *order_tables(told, halls(lines))]
        print("\n\n".join(table.text() for table in tables))

    def drain(self, upstream: str, store: str = DEFAULT_STORE, json: bool = False) -> None:
        """Mark an upstream as leaving: it gets no new work from the next revision on."""
        service = EtcdStore(urls=[store])
        version = current(service)
        if version is None:
            raise CroftchuteError(Code.NO_CONFIG, "the store holds no configuration")
        document = mark_leaving(version.document, upstream)
        accepted = submit(service, document, change_id=new_request_id(), expected=version.revision)
        _show({"revision": accepted.revision, "upstream": upstream, "state": "leaving"}, json)

    def timeline(
        self,
        boxes: str,
        request: str = "",
        upstream: str = "",
        since: float = 0.0,
        format: str = "text",
    ) -> None:
        """Merge the events of all reachable boxes; format is text, json or chrome."""
        everything = merge(fetch_timelines(find_boxes(boxes)))
        chosen = select(everything, request_id=request, upstream=upstream, since=since)
        if format == "json":
            for stamped in chosen:
                print(jsonlib.dumps(stamped.as_record()))
        elif format == "chrome":
            print(as_chrome_trace(chosen))
        elif format == "text":
            for gap in gaps(everything):
                print(f"gap: {gap.missing} earlier events of {gap.process} are lost")
            print(as_text(chosen))
        else:
            raise CroftchuteError(Code.BAD_REQUEST, f"format {format!r} is unknown")

    def demo(self, json: bool = False, seed: int = 1) -> None:
        """Run a small fleet with stand-ins in this process and check every answer."""
        from croftchute.demo.run import run_demo

        run_demo(seed=seed, as_json=json)


class ConfigCommands:
    """Check, submit and follow configuration."""

    def check(self, file: str, json: bool = False) -> None:
        """Check a configuration file without submitting it."""
        document = _read(file)
        engines = sum(len(pool.engines) for pool in document.pools)
        _show({"ok": True, "pools": len(document.pools), "engines": engines}, json)

    def submit(
        self,
        file: str,
        store: str = DEFAULT_STORE,
        expected: int | None = None,
        json: bool = False,
    ) -> None:
        """Put a configuration in force; prints the accepted revision."""
        accepted = submit(
            EtcdStore(urls=[store]), _read(file), change_id=new_request_id(), expected=expected
        )
        _show({"revision": accepted.revision, "change_id": accepted.change_id}, json)

    def show(self, store: str = DEFAULT_STORE) -> None:
        """Print the configuration in the store."""
        version = current(EtcdStore(urls=[store]))
        if version is None:
            raise CroftchuteError(Code.NO_CONFIG, "the store holds no configuration")
        from croftchute.config.checks import dump_document

        print(dump_document(version.document).decode())

    def history(self, store: str = DEFAULT_STORE, json: bool = False) -> None:
        """List the configurations that are still kept, newest first."""
        rows = [
            {"revision": version.revision, "change_id": version.change_id}
            for version in history(EtcdStore(urls=[store]))
        ]
        if json:
            _print_json(rows)
            return
        for row in rows:
            print(f"revision {row['revision']:<8} change {row['change_id']}")

    def wait(self, revision: int, boxes: str, timeout: float = 30.0, json: bool = False) -> None:
        """Wait until each reachable box of each hall has a revision in force."""
        end = time.monotonic() + timeout
        while True:
            in_force = {
                row["box"]: row["revision"]
                for row in (fetch_status(box) for box in find_boxes(boxes))
            }
            late = sorted(box for box, found in in_force.items() if found < revision)
            if not late:
                _show({"revision": revision, "boxes": len(in_force)}, json)
                return
            if time.monotonic() > end:
                message = f"revision {revision} is not in force at {', '.join(late)}"
                raise CroftchuteError(Code.TIMED_OUT, message)
            time.sleep(WAIT_STEP_S)


class PolicyCommands:
    """Check and try routing policies."""

    def check(self, file: str, json: bool = False) -> None:
        """Check a policy program; errors name line and column."""
        compile_policy(Path(file).name, _text(file))
        _show({"ok": True, "policy": file}, json)

    def try_(self, file: str, request: Any, candidates: Any, json: bool = False) -> None:
        """Call a policy with a request and candidates given as JSON."""
        policy = compile_policy(Path(file).name, _text(file))
        order = policy.order(_parsed(request), _parsed(candidates))
        _show({"order": list(order)}, json)


# fire shows the attribute's name; ``try`` itself is a keyword.
setattr(PolicyCommands, "try", PolicyCommands.try_)
del PolicyCommands.try_


def _parsed(value: Any) -> Any:
    """A flag's JSON; fire has parsed it already where it looks like a Python literal."""
    if not isinstance(value, str):
        return value
    try:
        return jsonlib.loads(value)
    except ValueError as error:
        raise CroftchuteError(Code.BAD_REQUEST, f"no JSON: {error}") from None


def _read(file: str) -> Document:
    return parse_document(_text(file))


def _text(file: str) -> str:
    try:
        return Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise DocumentError(Code.BAD_REQUEST, f"cannot read {file}: {error}") from None


def _show(fields: dict[str, Any], as_json: bool) -> None:
    if as_json:
        _print_json(fields)
    else:
        print("  ".join(f"{name}: {value}" for name, value in fields.items()))


def _lines_of(path: Path) -> list[str]:
    try:
        return path.read_text(errors="replace").splitlines()
    except OSError as error:
        raise CroftchuteError(Code.BAD_REQUEST, f"cannot read {path}: {error}") from None


def _print_json(value: Any) -> None:
    print(jsonlib.dumps(value, indent=2))
