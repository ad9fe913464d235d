"""Serve requests on callers' connections by a WSGI application.

Beside the keys of WSGI, ``environ`` has the whole body under :data:`BODY_KEY`, which an
application may clear once it has read it, and under :data:`ACCOUNT_KEY` the memory that
the caller makes this process hold; what the application takes of that is given back
once the response has ended.
"""

import io
import json
import sys
import urllib.parse
from collections.abc import Callable, Iterable

from kumquatseam.callers._shapes import error_body
from kumquatseam.gateway import CallerConnection, ConnectionHandler, StopClock
from kumquatseam.http1 import BadRequestError, CallerDisconnectedError, Request
from kumquatseam.logs import part_logger

_log = part_logger("callers")

BODY_KEY = "kumquatseam.body"
ACCOUNT_KEY = "kumquatseam.account"
#: fields that concern the connection only, or that ``environ`` has under other names.
_OWN_FIELDS = frozenset(
    (b"connection", b"content-length", b"content-type", b"expect", b"transfer-encoding")
)
_JSON_TYPE = (b"Content-Type", b"application/json")
_CODES = {408: "request_timeout", 503: "overloaded"}
_INVALID = "invalid_request_error"
_FAILED = 500


class WsgiHandler(ConnectionHandler):
    """Serves requests by a WSGI application.

    :param app: the application.
    """

    def __init__(self, app) -> None:
        super().__init__(StopClock())
        self._app = app

    def handle(
        self,
        request: Request,
        caller: CallerConnection,
        may_keep_alive: Callable[[], bool],
    ) -> bool:
        response = _Response(request, caller, may_keep_alive)
        result = ()
        try:
            result = self._app(_environ(request, caller), response.start)
            for data in result:
                response.send(data)
            response.finish()
        except CallerDisconnectedError as error:
            path = request.path
            _log.info("Response to a request of {} not received: {}.", path, error)
            raise
        except Exception:  # noqa: BLE001 - logged; the caller still gets a response
            _log.exception("Serving failed unexpectedly.")
            response.fail()
        finally:
            if hasattr(result, "close"):
                result.close()
        return response.keeps_connection

    def describe(
        self, error: BadRequestError
    ) -> tuple[list[tuple[bytes, bytes]], bytes]:
        code = _CODES.get(error.status, _INVALID)
        # Nothing of it was sent to a back end.
        body = error_body(code, error.detail, ran=None if code == _INVALID else False)
        return [_JSON_TYPE], json.dumps(body).encode()


class _Response:
    """The response that an application makes to one request.

    :param request: the request.
    :param caller: connection to its caller.
    :param may_keep_alive: whether that stays open afterwards.
    """

    def __init__(
        self,
        request: Request,
        caller: CallerConnection,
        may_keep_alive: Callable[[], bool],
    ) -> None:
        self._is_old_version = request.version == "1.0"
        self._has_body = request.method != b"HEAD"
        self._caller = caller
        self._may_keep = may_keep_alive
        self._status = _FAILED
        self._fields: list[tuple[bytes, bytes]] = []
        self._length_bytes: int | None = None
        self.keeps_connection = False

    def start(self, status: str, headers: list[tuple[str, str]], exc_info=None) -> None:
        """Take status and header fields; WSGI's ``start_response``."""
        self._status = int(status.split(" ", 1)[0])
        self._length_bytes = None
        self._fields = []
        for name, value in headers:
            if name.lower() == "content-length":
                self._length_bytes = int(value)
            else:
                self._fields.append((name.encode("latin-1"), value.encode("latin-1")))

    def send(self, data: bytes) -> None:
        """Send a piece of the body."""
        if not data or not self._has_body:
            return
        if self._caller.phase.has_begun:
            self._caller.send_body(data)
        else:
            self._begin(data)

    def finish(self) -> None:
        """End the response."""
        if not self._has_body:
            self.keeps_connection = self._may_keep()
            left_out_bytes = self._length_bytes or 0
            fields = self._final_fields()
            self._caller.send_response(self._status, fields, b"", left_out_bytes)
            return
        if not self._caller.phase.has_begun:
            self._length_bytes = self._length_bytes or 0
            self._begin(b"")
        self._caller.finish_response()

    def fail(self) -> None:
        """End a response that the application did not finish."""
        self.keeps_connection = False
        if not self._caller.phase.has_begun:
            body = json.dumps(error_body("internal_error", "internal error")).encode()
            fields = [_JSON_TYPE, (b"Connection", b"close")]
            self._caller.send_response(_FAILED, fields, body)

    def _begin(self, first: bytes) -> None:
        is_ended_by_close = self._length_bytes is None and self._is_old_version
        self.keeps_connection = self._may_keep() and not is_ended_by_close
        self._caller.start_response(
            self._status,
            self._final_fields(),
            self._length_bytes,
            first,
            is_ended_by_close,
        )

    def _final_fields(self) -> list[tuple[bytes, bytes]]:
        if self.keeps_connection:
            return self._fields
        return [*self._fields, (b"Connection", b"close")]


class _BodyReader(io.RawIOBase):
    """Reads a body without a copy of it.

    :param body: the body.
    """

    def __init__(self, body: bytes | bytearray) -> None:
        self._body = body
        self._at = 0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer) -> int:
        with memoryview(self._body) as body:
            data = body[self._at : self._at + len(buffer)]
            buffer[: len(data)] = data
            self._at += len(data)
            return len(data)


def _environ(request: Request, caller: CallerConnection) -> dict:
    path, _, query = request.target.decode("latin-1").partition("?")
    host, port = caller.socket.getsockname()[:2]
    environ = {
        "REQUEST_METHOD": request.method.decode("latin-1"),
        "SCRIPT_NAME": "",
        "PATH_INFO": urllib.parse.unquote(path, "latin-1"),
        "QUERY_STRING": query,
        "CONTENT_TYPE": request.headers.text(b"content-type"),
        "CONTENT_LENGTH": str(len(request.body)),
        "SERVER_NAME": host,
        "SERVER_PORT": str(port),
        "SERVER_PROTOCOL": f"HTTP/{request.version}",
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "http",
        "wsgi.input": _BodyReader(request.body),
        "wsgi.errors": sys.stderr,
        "wsgi.multithread": False,
        "wsgi.multiprocess": False,
        "wsgi.run_once": False,
        BODY_KEY: request.body,
        ACCOUNT_KEY: caller.account,
    }
    environ.update(_header_fields(request.headers.fields))
    return environ


def _header_fields(fields: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    found: dict[str, str] = {}
    for name, value in fields:
        # Underscores would let one name pass for another.
        if name.lower() in _OWN_FIELDS or b"_" in name:
            continue
        key = "HTTP_" + name.decode("latin-1").replace("-", "_").upper()
        text = value.decode("latin-1").strip()
        found[key] = f"{found[key]},{text}" if key in found else text
    return found
