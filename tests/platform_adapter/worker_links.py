"""Links of single boxes to workers, which tests can cut while clients, store and peers stay."""

from croftchute.forwarding.http.connection_pool import ConnectionPool
from croftchute.soak.proxy import FaultyLink, LinkFault, Target


class LinkedPool(ConnectionPool):
    """A box's pool whose connections to workers go over links of this box alone."""

    def __init__(self, *, links_by_port):
        super().__init__()
        self.links_by_port = links_by_port

    async def connect(self, host, port, timeout_s, *, limits=None):
        link = self.links_by_port.get(port)
        return await super().connect(host, link.port if link else port, timeout_s, limits=limits)


class WorkerLinks:
    """One link to each worker for one box."""

    def __init__(self):
        self.links_by_port = {}

    async def add(self, worker):
        target = Target(host="127.0.0.1", port=worker.port)
        link = FaultyLink(name=worker.id, target=target)
        await link.start()
        self.links_by_port[worker.port] = link

    async def cut(self, fault):
        for link in self.links_by_port.values():
            await link.cut(fault)

    async def heal(self):
        for link in self.links_by_port.values():
            await link.heal()

    def stop(self):
        for link in self.links_by_port.values():
            link.stop()


CUTS = (
    LinkFault.CLOSED,
    LinkFault.RESET,
    LinkFault.HANGING,
    LinkFault.SILENT,
    LinkFault.REFUSED,
)
"""Links that refuse, that take connections and reset them, that hang, that take connections and
bring nothing, and that live on while new ones are reset."""


async def link_box(box, workers):
    """Lead a box's connections to workers over links of its own."""
    links = WorkerLinks()
    for worker in workers:
        await links.add(worker)
    box.state.pool = LinkedPool(links_by_port=links.links_by_port)
    return links
