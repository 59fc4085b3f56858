"""The datagram socket between boxes."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable, Sequence

from croftchute.errors import MessageError
from croftchute.peers.codec import MAX_DATAGRAM, Codec, Envelope, batches
from croftchute.peers.messages import Body

BATCH = 32
BUFFER_BYTES = 1 << 21

Receiver = Callable[[Envelope], None]


class PeerSocket:
    """Sends and receives envelopes; datagrams that are not authentic are counted and dropped."""

    def __init__(self, *, address: str, port: int, codec: Codec, receiver: Receiver) -> None:
        self._codec = codec
        self._receiver = receiver
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self._socket.bind((address, port))
        self._thread = threading.Thread(target=self._receive, daemon=True, name="peers")
        self._stopped = False
        self._last_name: tuple[int, tuple[int, ...]] = (0, ())
        self._last_datagram = b""
        self.sent_bytes = 0
        self.sent_datagrams = 0
        self.dropped = 0

    @property
    def port(self) -> int:
        """The port bound, also where 0 was asked for."""
        return int(self._socket.getsockname()[1])

    def start(self) -> None:
        """Begin to receive."""
        self._thread.start()

    def send(
        self, address: tuple[str, int], sender: str, stamp: int, bodies: Sequence[Body]
    ) -> None:
        """Send bodies to a peer in as few datagrams as they fit; errors count as loss."""
        for group in batches(bodies, BATCH):
            try:
                datagram = self._encode(Envelope(sender=sender, stamp=stamp, bodies=group))
                self._socket.sendto(datagram, address)
            except (OSError, MessageError):
                self.dropped += 1
                continue
            self.sent_bytes += len(datagram)
            self.sent_datagrams += 1

    def _encode(self, envelope: Envelope) -> bytes:
        """Encode; the same bodies at the same stamp, as heartbeats to all peers, only once."""
        name = (envelope.stamp, tuple(id(body) for body in envelope.bodies))
        if name != self._last_name:
            self._last_datagram = self._codec.encode(envelope)
            self._last_name = name
        return self._last_datagram

    def stop(self) -> None:
        """Close the socket and end its thread."""
        self._stopped = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _receive(self) -> None:
        while not self._stopped:
            try:
                datagram = self._socket.recv(MAX_DATAGRAM)
            except OSError:
                if self._stopped:
                    return
                continue
            try:
                envelope = self._codec.decode(datagram)
            except MessageError:
                self.dropped += 1
                continue
            self._receiver(envelope)
