"""``make capacity``: what each role costs at the target size, worked out from measured slopes."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from loguru import logger

from croftchute.bench.forward import measure
from croftchute.bench.slopes import (
    decision_us,
    entry_us,
    heartbeat_us,
    idle_tick_us,
    memory_slopes,
    message_slopes,
)

OUTPUT = Path("build/capacity.json")
SIZES = (12, 46, 115, 230, 460)
STREAMS = [100, 400]
SHARD = 8
WHOLE_HALL = 10**6


@dataclass(frozen=True, kw_only=True)
class Target:
    """The target size, from the users' first letter, and the product's intervals there."""

    nodes: int = 360
    halls: int = 5
    workers: int = 2300
    requests_per_s: float = 14000.0
    tokens_per_s: float = 5e6
    callers: int = 27000
    open_s: float = 11.0
    heartbeat_s: float = 1.5
    poll_s: float = 1.0
    ticks_per_s: float = 50.0
    call_share: float = 0.02

    @property
    def requests_per_node(self) -> float:
        """Requests a second at one node."""
        return self.requests_per_s / self.nodes

    @property
    def peers(self) -> float:
        """Other boxes in a hall."""
        return self.nodes / self.halls - 1

    @property
    def engines_per_node(self) -> float:
        """Engines that one box owns."""
        return self.workers / self.nodes


def control_cpu(slopes: dict[str, Any], target: Target) -> dict[str, float]:
    """Share of a core by activity, for one node."""
    messages, rate = slopes["messages"], target.requests_per_node
    entry = slopes["entry_us"]["460"]
    entry += messages["reserve"]["write_us"] + messages["granted"]["read_us"]
    entry += messages["released"]["write_us"]
    owner = messages["reserve"]["read_us"] + slopes["decision_us"]["460"]
    owner += messages["granted"]["write_us"] + messages["released"]["read_us"]
    beats = target.peers / target.heartbeat_s
    hear = messages["heartbeat"]["read_us"] + slopes["heartbeat"]["hear_us"]
    sends = slopes["heartbeat"]["tick_us"] / target.heartbeat_s
    dedupe = 6 * (messages["mirror"]["write_us"] + messages["mirror"]["read_us"])
    return {
        "entry": rate * entry / 1e6,
        "owner": rate * owner / 1e6,
        "heartbeats": (beats * hear + sends) / 1e6,
        "ticks": target.ticks_per_s * slopes["idle_tick_us"] / 1e6,
        "polls": target.engines_per_node / target.poll_s * slopes["forward"]["poll_us"] / 1e6,
        "at_most_once": rate * target.call_share * dedupe / 1e6,
    }


def control_bytes(slopes: dict[str, Any], target: Target) -> dict[str, float]:
    """Bytes a second that one node sends to peers, by activity; it receives as many."""
    messages, rate = slopes["messages"], target.requests_per_node
    asked = sum(messages[name]["bytes"] for name in ("reserve", "granted", "released"))
    return {
        "reservations": rate * asked,
        "heartbeats": target.peers / target.heartbeat_s * messages["heartbeat"]["bytes"],
        "at_most_once": rate * target.call_share * 6 * messages["mirror"]["bytes"],
    }


def control_memory(slopes: dict[str, Any], target: Target) -> dict[str, float]:
    """Bytes of control state at one node, by kind."""
    memory = slopes["memory"]
    open_requests = target.requests_per_node * target.open_s
    keys = target.requests_per_node * target.call_share * 900 * 2
    return {
        "open_requests": open_requests * memory["open_request"],
        "reservations": open_requests * memory["reservation"],
        "engines_of_hall": target.workers / target.halls * memory["engine"],
        "peers": target.peers * memory["peer"],
        "callers": min(target.callers, 4096) * memory["caller"],
        "prefix_blocks": target.engines_per_node / 4 * 8192 * memory["prefix_block"],
        "dedupe_records": keys * memory["dedupe_record"],
    }


def main() -> None:
    """Measure the slopes, work out the target size, write both down."""
    logger.remove()
    slopes: dict[str, Any] = {
        "messages": message_slopes(),
        "decision_us": {str(n): decision_us(n, shard_engines=SHARD) for n in SIZES},
        "decision_one_shard_us": {str(n): decision_us(n, shard_engines=WHOLE_HALL) for n in SIZES},
        "entry_us": {str(n): entry_us(n) for n in SIZES},
        "heartbeat": heartbeat_us(71),
        "idle_tick_us": idle_tick_us(),
        "memory": memory_slopes(),
        "forward": measure(STREAMS),
    }
    target = Target()
    result = {
        "target": asdict(target),
        "slopes": slopes,
        "control_cpu_share": control_cpu(slopes, target),
        "control_bytes_sent_per_s": control_bytes(slopes, target),
        "control_memory_bytes": control_memory(slopes, target),
    }
    per_token = slopes["forward"]["streams"][-1]["cpu_us_per_token"]
    per_request = slopes["forward"]["streams"][-1]["cpu_us_per_request"]
    result["data_path_core_share"] = {
        "tokens": target.tokens_per_s / target.nodes * per_token / 1e6,
        "requests": target.requests_per_node * per_request / 1e6,
    }
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")
    for name in ("control_cpu_share", "control_bytes_sent_per_s", "control_memory_bytes"):
        parts = result[name]
        total = sum(parts.values())
        print(f"{name}: {total:.4g} = " + ", ".join(f"{k} {v:.4g}" for k, v in parts.items()))
    print("data path, cores:", result["data_path_core_share"])


if __name__ == "__main__":
    main()
