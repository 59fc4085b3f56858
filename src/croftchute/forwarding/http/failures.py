"""What can go wrong between the router and a worker, and what is then known of the request."""

from __future__ import annotations

from croftchute.errors import Code, CroftchuteError, Ran


class ExchangeError(CroftchuteError):
    """A call of a worker that brought no whole answer; ``ran`` says what is known of it."""

    def __init__(self, code: Code, message: str, *, ran: Ran) -> None:
        super().__init__(code, message)
        self.ran = ran


class ConnectFailedError(ExchangeError):
    """No connection could be opened, so nothing was sent."""

    def __init__(self, message: str) -> None:
        super().__init__(Code.TARGET_UNREACHABLE, message, ran=Ran.NOT_RUN)


class ConnectRefusedError(ConnectFailedError):
    """Nobody listens at the address: the process there has ended."""


class ConnectTimedOutError(ConnectFailedError):
    """Nothing answered the attempt to connect in time."""


class ConnectionBrokenError(ExchangeError):
    """The connection ended, or carried bytes that are no answer, after the request was sent."""

    def __init__(self, message: str) -> None:
        super().__init__(Code.UPSTREAM_FAILED, message, ran=Ran.UNKNOWN)


class AnswerEndlessError(ConnectionBrokenError):
    """The server sent far more than an answer needs besides its content, and was cut off."""


class CallerSlowError(ExchangeError):
    """The caller did not read its answer in the time it has; the worker is not at fault."""

    def __init__(self, message: str) -> None:
        super().__init__(Code.DEADLINE_PASSED, message, ran=Ran.UNKNOWN)


class AnswerLateError(ExchangeError):
    """The worker did not answer in the time it was given."""

    def __init__(self, message: str) -> None:
        super().__init__(Code.UPSTREAM_SLOW, message, ran=Ran.UNKNOWN)
