"""Checks over a whole configuration document: names that must exist, be unique or agree."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from croftchute.config.documents import Document, PoolSpec, Role
from croftchute.errors import Code, DocumentError, Fault, PolicyError
from croftchute.policies.starlark_policy import compile_policy
from croftchute.tables.upstreams import engine_hash
from croftchute.validation import dump, load


def parse_document(raw: bytes | str) -> Document:
    """Read and check a configuration; raises :class:`DocumentError` with all faults by path."""
    document = load(Document, raw, code=Code.CONFIG_INVALID)
    faults = check(document)
    if faults:
        summary = "; ".join(f"{fault.path}: {fault.message}" for fault in faults)
        raise DocumentError(faults[0].code, summary, faults=faults)
    return document


def dump_document(document: Document) -> bytes:
    """Write a configuration as JSON."""
    return dump(Document, document)


def check(document: Document) -> tuple[Fault, ...]:
    """All faults that the types alone cannot show."""
    checks: tuple[Callable[[Document], Iterator[Fault]], ...] = (
        _unique_names,
        _known_halls,
        _known_models,
        _active_versions,
        _policies,
        _roles,
    )
    return tuple(fault for each in checks for fault in each(document))


def _fault(path: str, message: str) -> Fault:
    return Fault(path=path, code=Code.CONFIG_INVALID, message=message)


def _repeats(path: str, names: Iterable[str]) -> Iterator[Fault]:
    seen: set[str] = set()
    for position, name in enumerate(names):
        if name in seen:
            yield _fault(f"{path}[{position}]", f"{name!r} is used twice")
        seen.add(name)


def _unique_names(document: Document) -> Iterator[Fault]:
    yield from _repeats("$.halls", (hall.id for hall in document.halls))
    yield from _repeats("$.models", (model.id for model in document.models))
    yield from _repeats("$.pools", (pool.id for pool in document.pools))
    yield from _repeats("$.callers", (caller.id for caller in document.callers))
    yield from _repeats("$.policies", (policy.id for policy in document.policies))
    yield from _repeats("$.services", (service.prefix for service in document.services))
    engines = [engine.id for pool in document.pools for engine in pool.engines]
    workers = [worker.id for service in document.services for worker in service.workers]
    yield from _repeats("$.upstreams", engines + workers)
    yield from _clashing_hashes(engines)


def _clashing_hashes(engines: list[str]) -> Iterator[Fault]:
    id_by_hash: dict[int, str] = {}
    for engine in engines:
        other = id_by_hash.setdefault(engine_hash(engine), engine)
        if other != engine:
            yield _fault("$.upstreams", f"{engine!r} and {other!r} have one hash; rename one")


def _known_halls(document: Document) -> Iterator[Fault]:
    halls = {hall.id for hall in document.halls}
    for p, pool in enumerate(document.pools):
        for e, engine in enumerate(pool.engines):
            if engine.hall not in halls:
                yield _fault(f"$.pools[{p}].engines[{e}].hall", f"no hall {engine.hall!r}")
        for hall in pool.hall_weights:
            if hall not in halls:
                yield _fault(f"$.pools[{p}].hall_weights", f"no hall {hall!r}")
    for s, service in enumerate(document.services):
        for n, worker in enumerate(service.workers):
            if worker.hall not in halls:
                yield _fault(f"$.services[{s}].workers[{n}].hall", f"no hall {worker.hall!r}")


def _known_models(document: Document) -> Iterator[Fault]:
    models = {model.id for model in document.models}
    served: set[str] = set()
    for p, pool in enumerate(document.pools):
        for m, model in enumerate(pool.models):
            if model not in models:
                yield _fault(f"$.pools[{p}].models[{m}]", f"no model {model!r}")
            if model in served:
                yield _fault(f"$.pools[{p}].models[{m}]", f"{model!r} is in another pool already")
            served.add(model)


def _active_versions(document: Document) -> Iterator[Fault]:
    for m, model in enumerate(document.models):
        if model.active_version not in {version.id for version in model.versions}:
            yield _fault(f"$.models[{m}].active_version", f"no version {model.active_version!r}")


def _policies(document: Document) -> Iterator[Fault]:
    names = {policy.id for policy in document.policies}
    for p, pool in enumerate(document.pools):
        if pool.policy is not None and pool.policy not in names:
            yield _fault(f"$.pools[{p}].policy", f"no policy {pool.policy!r}")
    for n, policy in enumerate(document.policies):
        try:
            compile_policy(policy.id, policy.source)
        except PolicyError as error:
            path = f"$.policies[{n}].source"
            yield Fault(path=path, code=Code.POLICY_INVALID, message=error.message)


def _roles(document: Document) -> Iterator[Fault]:
    for p, pool in enumerate(document.pools):
        for hall in sorted({engine.hall for engine in pool.engines}):
            missing = _missing_role(pool, hall)
            if missing is not None:
                yield _fault(
                    f"$.pools[{p}].engines", f"hall {hall!r} has no {missing.value} engine"
                )


def _missing_role(pool: PoolSpec, hall: str) -> Role | None:
    roles = {engine.role for engine in pool.engines if engine.hall == hall}
    if Role.BOTH in roles:
        return None
    for role in (Role.PREFILL, Role.DECODE):
        if role not in roles:
            return role
    return None
