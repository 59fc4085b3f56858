"""Ending a call from another thread while it waits for its answer.

urllib3 gives no access to the connection of a call before its response has come.
"""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator
from typing import Any

import urllib3


class CallEnder:
    """Ends the calls that are made with it, by breaking off their connections."""

    def __init__(self) -> None:
        self._socket: socket.socket | None = None
        self._is_ended = False
        self._lock = threading.Lock()

    @contextlib.contextmanager
    def ends_call(self) -> Iterator[None]:
        """Apply to the call that this thread makes meanwhile, through an endable pool."""
        _this_thread.ender = self
        try:
            yield
        finally:
            _this_thread.ender = None

    def connected(self, sock: socket.socket) -> None:
        """Name the connection of the call; it is broken off at once after an end."""
        with self._lock:
            self._socket = sock
            if self._is_ended:
                self._break_off()

    def end(self) -> None:
        """Break off the call that is being made, and any later one."""
        with self._lock:
            self._is_ended = True
            self._break_off()

    def _break_off(self) -> None:
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)


class EndablePoolManager(urllib3.PoolManager):
    """Pools of HTTP connections whose calls a :class:`CallEnder` can end."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.pool_classes_by_scheme = {
            **self.pool_classes_by_scheme,
            "http": _EndableConnectionPool,
        }


class _ThisThread(threading.local):
    ender: CallEnder | None = None


_this_thread = _ThisThread()


class _EndableConnection(urllib3.connection.HTTPConnection):
    def connect(self) -> None:
        super().connect()
        if _this_thread.ender is not None and self.sock is not None:
            _this_thread.ender.connected(self.sock)


class _EndableConnectionPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _EndableConnection
