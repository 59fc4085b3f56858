"""Holds a server back while the caller of its answer reads slowly."""

from __future__ import annotations

from croftchute.forwarding.http.deadline import within
from croftchute.forwarding.http.exchange import Exchange
from croftchute.forwarding.http.failures import AnswerLateError, CallerSlowError
from croftchute.forwarding.http.http_client import RECEIVE_WINDOW_BYTES, ClientConnection


async def wait_for_caller(
    connection: ClientConnection, exchange: Exchange, timeout_s: float
) -> None:
    """Stop reading from the server until the caller has read enough of its buffered bytes.

    Raise CallerSlowError if that takes longer than ``timeout_s``.
    """
    connection.pause_reading()
    # At most one read of the socket has arrived that was not yet written to the caller, and the
    # server goes on until the kernel's window is full.
    exchange.note_unread(connection.unread_bytes + RECEIVE_WINDOW_BYTES)
    try:
        await within(exchange.drained(), timeout_s, "caller did not read")
    except AnswerLateError as error:
        raise CallerSlowError(error.message) from None
    finally:
        exchange.note_unread(0)
    connection.resume_reading()
