"""Breaking connections off, as a process that dies does."""

from __future__ import annotations

import contextlib
import socket

from croftchute.httpd import SOCKET_KEY, Environ


class BrokenOffError(Exception):
    """Raised in a stand-in after it has broken its caller's connection off."""


def break_off(environ: Environ) -> BrokenOffError:
    """Break the connection off at once, without an answer; returns the error to raise."""
    with contextlib.suppress(OSError):
        environ[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
    return BrokenOffError(environ["PATH_INFO"])
