"""A stand-in of the platform's metadata store, by the page of its protocol.

Keeps topics with one partition each. ``copy`` and ``restore`` play the drill in which
the store comes back from a copy some seconds old.
"""

import base64
import copy
import json
import struct
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

KEYED = "keyed."
READ_ONLY = ("keyed.op", "keyed.servers")


class Store:
    """The store, served on a loopback port."""

    def __init__(self):
        self._topics = {}
        self._changed = threading.Condition()
        self._copy = None
        self.era = 0
        #: whether calls are refused with 503.
        self.is_away = False
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *arguments):
                pass

            def do_GET(self):
                store._answer(self)

            def do_POST(self):
                store._answer(self)

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request, client_address):
                # A gateway was killed.
                pass

        self._server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def start(self):
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        self._server.shutdown()

    # What the operator and the replicas write.

    def put(self, topic, key, value):
        """Append a keyed record and return its offset."""
        name = key.encode()
        with self._changed:
            records = self._topics.setdefault(topic, [])
            records.append(bytes([len(name)]) + name + value)
            self._changed.notify_all()
            return len(records) - 1

    def take_copy(self):
        """Keep a copy of everything, as it is now."""
        with self._changed:
            self._copy = copy.deepcopy(self._topics)

    def restore_copy(self):
        """Come back from the copy; the era rises by one."""
        with self._changed:
            self._topics = copy.deepcopy(self._copy)
            self.era += 1
            self.is_away = False
            self._changed.notify_all()

    # Calls of the system.

    def _answer(self, http):
        body = http.rfile.read(int(http.headers.get("Content-Length") or 0))
        path, _, query = http.path.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        if self.is_away:
            self._send(http, 503, b"")
            return
        call = {
            "/log-append": self._append,
            "/log-read": self._read,
            "/log-newest": self._newest,
        }.get(path)
        if call is None:
            self._send(http, 404, b"")
            return
        status, answer = call(fields, body)
        if isinstance(answer, dict):
            answer = json.dumps(answer).encode()
        self._send(http, status, answer)

    def _send(self, http, status, body):
        try:
            http.send_response(status)
            http.send_header("Store-Era", str(self.era))
            http.send_header("Content-Length", str(len(body)))
            http.end_headers()
            http.wfile.write(body)
        except OSError:
            http.close_connection = True

    def _append(self, fields, body):
        if fields["topic"] in READ_ONLY:
            return 403, b""
        new, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            new.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        with self._changed:
            records = self._topics.setdefault(fields["topic"], [])
            if "at" in fields and int(fields["at"]) != len(records):
                return 412, {"end": len(records)}
            offset = len(records)
            records.extend(new)
            self._changed.notify_all()
            return 200, {"offset": offset, "end": len(records)}

    def _read(self, fields, body):
        start = int(fields["from"])
        until_s = time.monotonic() + int(fields.get("waitMs", 0)) / 1000
        with self._changed:
            era = self.era
            while True:
                records = self._topics.get(fields["topic"], [])
                if start > len(records):
                    return 410, {"first": 0}
                left_s = until_s - time.monotonic()
                if len(records) > start or left_s <= 0 or era != self.era:
                    break
                self._changed.wait(left_s)
            found = records[start:]
            end = len(records)
        framed = b"".join(struct.pack(">I", len(r)) + r for r in found)
        return 200, struct.pack(">QQ", end, 0) + framed

    def _newest(self, fields, body):
        with self._changed:
            records = list(self._topics.get(fields["topic"], []))
        newest = {}
        for offset, record in enumerate(records):
            split = 1 + record[0]
            newest.pop(record[1:split], None)
            if record[split:]:
                newest[record[1:split]] = (record[split:], offset)
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in newest.items()
        ]
        return 200, {"items": items, "hasMore": False, "end": len(records)}
