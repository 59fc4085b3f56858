"""Noticing callers who hang up, while their threads wait for something else."""

from __future__ import annotations

import select
import socket
import threading
from collections.abc import Callable

WAIT_S = 0.5
EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR | select.EPOLLONESHOT

Callback = Callable[[], None]


def has_left(sock: socket.socket) -> bool:
    """Whether the peer of a socket has hung up by now."""
    poll = select.poll()
    try:
        poll.register(sock, select.POLLRDHUP)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True


class HangupWatcher:
    """One thread over all callers' sockets; costs nothing while none hangs up."""

    def __init__(self) -> None:
        self._poll = select.epoll()
        self._callback_by_fd: dict[int, Callback] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True, name="hangups")

    def start(self) -> None:
        """Begin to watch."""
        self._thread.start()

    def add(self, sock: socket.socket, callback: Callback) -> int:
        """Call back once when the peer of ``sock`` hangs up; returns a handle."""
        fd = sock.fileno()
        if fd < 0:
            callback()
            return fd
        self._callback_by_fd[fd] = callback
        try:
            self._poll.register(fd, EVENTS)
        except FileExistsError:
            self._poll.modify(fd, EVENTS)
        return fd

    def remove(self, fd: int) -> None:
        """Stop watching; must come before the socket is closed or used again."""
        self._callback_by_fd.pop(fd, None)
        try:
            self._poll.unregister(fd)
        except (OSError, ValueError):
            return

    def stop(self) -> None:
        """End the thread."""
        self._stopped.set()
        self._thread.join(2 * WAIT_S)

    def _watch(self) -> None:
        while not self._stopped.is_set():
            for fd, _ in self._poll.poll(WAIT_S):
                callback = self._callback_by_fd.pop(fd, None)
                if callback is not None:
                    callback()
