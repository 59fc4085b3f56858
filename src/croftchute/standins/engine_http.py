"""The HTTP surface of an engine stand-in."""

from __future__ import annotations

import json
import threading
from collections.abc import Iterator
from typing import Any

from croftchute.httpd import Environ, HttpServer, StartResponse, read_body, reply
from croftchute.standins.engine import EngineFaults, EngineShape, EngineStandin, Generation
from croftchute.standins.faults import break_off
from croftchute.standins.tokens import token_text

BUSY = json.dumps({"error": {"message": "refused", "type": "engine_busy"}}).encode()
BUSY_STATUS = 503
THREADS = 64

_SERVERS_BY_ENGINE: dict[str, EngineServer] = {}


class EngineServer:
    """An engine stand-in that listens on loopback."""

    def __init__(
        self,
        *,
        id: str,
        shape: EngineShape | None = None,
        faults: EngineFaults | None = None,
        threads: int = THREADS,
    ) -> None:
        self.engine = EngineStandin(id=id, shape=shape or EngineShape(), faults=faults)
        self._server = HttpServer(app=self._app, address="127.0.0.1", port=0, threads=threads)
        self._server.start()
        _SERVERS_BY_ENGINE[id] = self

    @property
    def url(self) -> str:
        """Where the engine listens."""
        return f"http://127.0.0.1:{self._server.port}"

    def kill(self) -> None:
        """Break all connections and stop listening."""
        self.engine.die()
        threading.Thread(target=self._server.stop, daemon=True).start()

    def stop(self) -> None:
        """End the stand-in."""
        self.engine.die()
        self._server.stop()
        _SERVERS_BY_ENGINE.pop(self.engine.id, None)

    def _app(self, environ: Environ, start_response: StartResponse) -> Any:
        if self.engine.dead.is_set():
            raise break_off(environ)
        path = environ["PATH_INFO"]
        body = json.loads(read_body(environ) or b"{}")
        if path.startswith("/control/"):
            return reply(start_response, 200, json.dumps(self._control(environ, body)).encode())
        key = environ.get("HTTP_X_ATTEMPT", "")
        if body.get("kv_transfer_params", {}).get("do_remote_decode"):
            return self._prefill(environ, key, body, start_response)
        return self._decode(environ, key, body, start_response)

    def _control(self, environ: Environ, body: dict[str, Any]) -> dict[str, Any]:
        path = environ["PATH_INFO"]
        if path == "/control/cancel":
            return {"cancelled": self.engine.cancel(body["key"])}
        if path == "/control/load":
            if self.engine.faults.silent_reports:
                raise break_off(environ)
            return self.engine.report(int(body.get("after_seq", 0)))
        if path == "/control/order":
            accepted = self.engine.order(int(body["token"]), body["kind"], body["target"])
            return {"accepted": accepted}
        return {}

    def _prefill(
        self, environ: Environ, key: str, body: dict[str, Any], start_response: StartResponse
    ) -> Any:
        if self.engine.faults.fail_prefills > 0:
            self.engine.faults.fail_prefills -= 1
            return reply(start_response, 500, BUSY)
        params = self.engine.prefill(key, body)
        if self.engine.dead.is_set():
            raise break_off(environ)
        if not params:
            return reply(start_response, BUSY_STATUS, BUSY)
        return reply(start_response, 200, json.dumps({"kv_transfer_params": params}).encode())

    def _decode(
        self, environ: Environ, key: str, body: dict[str, Any], start_response: StartResponse
    ) -> Any:
        params = body.get("kv_transfer_params") or {}
        source = _SERVERS_BY_ENGINE.get(params.get("remote_engine_id", ""))
        tokens = source.engine.take_result(params["remote_key"]) if source else None
        if tokens is None:
            return reply(start_response, 409, BUSY)
        shape = self.engine.shape
        remote = source is not self
        wait = tokens * shape.kv_bytes_per_token / shape.link_bytes_per_s if remote else 0.0
        resume_from = int(body.get("resume_from", 0))
        sequence = self.engine.admit(key, body, resume_from, tokens, wait)
        if sequence is None:
            self.engine.wasted_tokens += tokens
            return reply(start_response, BUSY_STATUS, BUSY)
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        chat = environ["PATH_INFO"].endswith("/chat/completions")
        name = environ.get("HTTP_X_REQUEST_ID", key)
        chunks = Chunks(name=name, model=str(body.get("model")), chat=chat)
        return self._events(environ, sequence, chunks)

    def _events(self, environ: Environ, sequence: Generation, chunks: Chunks) -> Iterator[bytes]:
        faults = self.engine.faults
        sent = 0
        try:
            while sequence.length > 0:
                index = sequence.out.get()
                if index is None:
                    raise break_off(environ)
                last = index + 1 >= sequence.length
                yield chunks.event(token_text(sequence.digest, index), last=last)
                sent += 1
                if faults.die_after_tokens and sent >= faults.die_after_tokens:
                    raise break_off(environ)
                if last:
                    break
            yield b"data: [DONE]\n\n"
        finally:
            self.engine.finish(sequence.key)


class Chunks:
    """Writes one answer's events."""

    def __init__(self, *, name: str, model: str, chat: bool) -> None:
        kind = "chat.completion.chunk" if chat else "text_completion"
        prefix = "chatcmpl" if chat else "cmpl"
        self._head = f'data: {{"id":"{prefix}-{name}","object":"{kind}","model":"{model}",'
        self._chat = chat

    def event(self, text: str, *, last: bool) -> bytes:
        """One token as a server-sent event."""
        finish = '"length"' if last else "null"
        part = f'"delta":{{"content":"{text}"}}' if self._chat else f'"text":"{text}"'
        choice = f'"choices":[{{"index":0,{part},"finish_reason":{finish}}}]}}\n\n'
        return (self._head + choice).encode()
