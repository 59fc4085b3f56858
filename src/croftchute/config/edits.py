"""Small changes to a configuration document that commands make for operators."""

from __future__ import annotations

from dataclasses import replace

from croftchute.config.documents import Document, UpstreamState
from croftchute.errors import Code, CroftchuteError


def mark_leaving(document: Document, upstream: str) -> Document:
    """The document with one engine or worker marked as leaving."""
    leaving = UpstreamState.LEAVING
    pools = [
        replace(
            pool,
            engines=[replace(e, state=leaving) if e.id == upstream else e for e in pool.engines],
        )
        for pool in document.pools
    ]
    services = [
        replace(
            service,
            workers=[replace(w, state=leaving) if w.id == upstream else w for w in service.workers],
        )
        for service in document.services
    ]
    changed = replace(document, pools=pools, services=services)
    if changed == document:
        raise CroftchuteError(Code.NO_UPSTREAM, f"no upstream {upstream!r}, or it leaves already")
    return changed
