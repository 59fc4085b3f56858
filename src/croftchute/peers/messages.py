"""Messages between boxes; each class has a struct of the same name in ``schema.capnp``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from croftchute.errors import Code
from croftchute.tables.allowances import UsageGrant, UsageReturn, UsageWant
from croftchute.tables.crashes import CrashNotice, PartNotice
from croftchute.tables.peers import DemandNotice, LimitNotice, WorkerNotice, WorkerPaceNotice
from croftchute.tables.upstreams import ShardDigest


@dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """I am alive; sent to each peer at an interval, with digests of the shards owned.

    Most heartbeats leave the address out, to save bytes; the receiver knows it from an earlier
    one, or from its settings or the platform's list.
    """

    incarnation: int
    revision: int
    map_version: int
    leaving: bool
    digests: tuple[ShardDigest, ...] = ()
    hall: str = ""
    address: str = ""
    peer_port: int = 0
    admin_port: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Reserve:
    """Asks the owner of a shard for a place; sent again unchanged if no answer comes."""

    request_id: str
    attempt: int
    shard: str
    model: str
    caller: str
    priority: int
    prompt_tokens: int
    max_tokens: int
    resume_from: int
    waited_s: float
    time_left_s: float
    prefix: tuple[int, ...] = ()
    avoid: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """The owner's yes, with the engines to use by their short hashes."""

    request_id: str
    attempt: int
    shard: str
    prefill_hash: int
    decode_hash: int
    expected_output: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Declined:
    """The owner's no; nothing is held for the attempt."""

    request_id: str
    attempt: int
    shard: str
    code: Code
    retry_after_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Released:
    """An attempt is over. ``confirmed`` is false while its engines may still hold it.

    ``rest_s`` is for how long the failed engine wants no work; 0 if it did not say so.
    """

    request_id: str
    attempt: int
    shard: str
    output_tokens: int
    confirmed: bool
    failed_engine: str = ""
    rest_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Announced:
    """Tells a new owner of a reservation that its predecessor had granted."""

    request_id: str
    attempt: int
    shard: str
    caller: str
    priority: int
    prefill_id: str
    decode_id: str
    prompt_tokens: int
    expected_output: float
    time_left_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Audit:
    """An owner asks an entry box which of these attempts are still open."""

    shard: str
    keys: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Audited:
    """The answer to :class:`Audit`: the attempts among those asked that are open."""

    shard: str
    asked: tuple[str, ...]
    open: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Begin:
    """Asks the first box of a key range whether a non-repeatable call may run."""

    key: str
    token: str
    epoch: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Mirror:
    """The first box has the second write down a record, under an epoch."""

    key: str
    token: str
    epoch: int
    phase: str
    answer: bytes = b""
    status: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Mirrored:
    """The second box's word on a :class:`Mirror`."""

    key: str
    token: str
    epoch: int
    phase: str
    accepted: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """The first box's answer to :class:`Begin` or :class:`Finish`."""

    key: str
    token: str
    decision: str
    code: str = ""
    answer: bytes = b""
    status: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Finish:
    """What came of a call: ``phase`` is a record's phase."""

    key: str
    token: str
    epoch: int
    phase: str
    answer: bytes = b""
    status: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class BoxNotice:
    """How things stand at a forwarding box; ``started_at`` is Unix time, a newer life is higher.

    ``introduced`` holds HOST:PORT of other boxes that the sender hears; ``link_mbps`` is the rate
    of the sender's link in Mbit/s, 0 if it does not know. ``leaving_workers`` are lives of workers
    that said, to the sender or to a box that it heard, that they leave; ``limited_workers`` are
    those that named a limit in the same way. ``paces`` are told of workers that tell theirs.
    ``reaches_workers`` also says that the sender serves requests for boxes that do not; boxes of
    earlier versions leave it out, and ``continues_by_version``: see
    :class:`croftchute.tables.peers.Peer`. ``stands_back`` says that the sender asks the load
    balancer for no new connections, as it gets more than it can serve.
    """

    started_at: float
    host: str
    notice_port: int
    control_port: int
    config_version: int
    workers_revision: int
    is_leaving: bool = False
    workers: tuple[WorkerNotice, ...] = ()
    demands: tuple[DemandNotice, ...] = ()
    introduced: tuple[str, ...] = ()
    hall: str = ""
    link_mbps: float = 0.0
    leaving_workers: tuple[str, ...] = ()
    limited_workers: tuple[LimitNotice, ...] = ()
    paces: tuple[WorkerPaceNotice, ...] = ()
    reaches_workers: bool = False
    continues_by_version: bool = False
    stands_back: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class AllowanceAsk:
    """Asks a pool for units of some organisations, and lends it the sender's share of all limits.

    ``share`` is 0 if nothing is lent; ``echo`` is the time of the pool that the sender heard last.
    """

    number: int
    group: int
    share: float
    echo: float
    wants: tuple[UsageWant, ...] = ()
    returns: tuple[UsageReturn, ...] = ()
    is_first: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class AllowanceReply:
    """A pool's answer to :class:`AllowanceAsk`: its clock, how many boxes there are, what it gives.

    ``boxes`` is 0 if the pool does not know; ``live_share`` is the part of all limits that is lent
    to it at the moment.
    """

    number: int
    group: int
    stamp: float
    boxes: int
    grants: tuple[UsageGrant, ...] = ()
    live_share: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashNews:
    """Workers that ended under requests, and good ends of such requests, as the sender knows.

    ``parts`` are workers that crashed under parts of prompts.
    """

    notices: tuple[CrashNotice, ...] = ()
    parts: tuple[PartNotice, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class OriginNews:
    """Tells where a stream began, by the digests of :mod:`croftchute.tables.origins`.

    ``alias`` is the key by which callers that don't name the stream are recognised, 0 for none;
    ``origin`` is 0 if an earlier one is in doubt. ``is_for_record`` asks the receiver to write it
    to the store, at once if that ``is_urgent``, as several versions may have begun the stream.
    """

    stream: int
    alias: int
    origin: int
    is_for_record: bool = False
    is_urgent: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class OriginAsk:
    """Asks where a stream began, ``within_s`` seconds ago at most.

    ``service`` is the one that may have begun it, empty if there are several.
    """

    number: int
    stream: int
    service: str = ""
    within_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class OriginReply:
    """The answer to :class:`OriginAsk`; ``origin`` is 0 if it is not known.

    ``is_told`` says that the box was told of the stream. If not, only this origin is possible, by
    the workers that the box saw listed.
    """

    number: int
    origin: int = 0
    is_told: bool = False


Body: TypeAlias = (
    Heartbeat
    | Reserve
    | Granted
    | Declined
    | Released
    | Announced
    | Audit
    | Audited
    | Begin
    | Mirror
    | Mirrored
    | Verdict
    | Finish
    | BoxNotice
    | AllowanceAsk
    | AllowanceReply
    | CrashNews
    | OriginNews
    | OriginAsk
    | OriginReply
)
