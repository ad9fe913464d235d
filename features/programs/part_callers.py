"""Callers of streams, some of which have a part in their prompts that crashes engines.

Usage: part_callers.py JSON, with

- ``ports``, ``key``, ``path`` and ``for_s``;
- ``sound_per_s``: sound requests over four first parts and ten others;
- ``bad_per_s`` and ``bad_parts``: requests with one of these parts, no two alike;
- ``place``: where that part is: ``first``, ``middle`` or ``before the last``;
- ``leave_after_s``: time after which callers of these leave; 0 for never;
- ``events``: events of a whole stream; ``seed``.

Prints one line for each request: its kind, its first part, when it was sent, how long
it took, its status (0 without a response) and whether its stream was whole.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
import urllib3  # noqa: E402

POOL = urllib3.PoolManager(retries=False, maxsize=64)
FIRST_PARTS = ("a0", "a1", "a2", "a3")
OTHER_PARTS = tuple(f"b{number}" for number in range(10))


class Callers:
    """Sends requests at steady rates.

    :param options: see the module.
    """

    def __init__(self, options):
        self.options = options
        self.draw = random.Random(options["seed"])
        self.calls = []

    def run(self):
        """Send all requests, and wait for their ends."""
        options = self.options
        loops = [
            gevent.spawn(self._send_all, "sound", options["sound_per_s"], self._sound),
            gevent.spawn(self._send_all, "bad", options["bad_per_s"], self._bad),
        ]
        gevent.joinall(loops)
        gevent.joinall(self.calls)

    def _send_all(self, kind, per_s, parts_of):
        began_s = time.monotonic()
        for number in range(int(per_s * self.options["for_s"])):
            gevent.sleep(max(0.0, began_s + number / per_s - time.monotonic()))
            call = gevent.spawn(self._call, kind, number, parts_of(number))
            self.calls.append(call)

    def _sound(self, number):
        first = self.draw.choice(FIRST_PARTS)
        return [first, self.draw.choice(OTHER_PARTS), f"c{number:06x}"]

    def _bad(self, number):
        bad = self.options["bad_parts"][number % len(self.options["bad_parts"])]
        first = self.draw.choice(FIRST_PARTS)
        other = self.draw.choice(OTHER_PARTS)
        shared = {
            "first": [bad, first, other],
            "middle": [first, bad, other],
            "before the last": [first, other, bad],
        }[self.options["place"]]
        return [*shared, f"d{number:06x}"]

    def _call(self, kind, number, parts):
        options = self.options
        headers = {
            "Host": "a.example",
            "X-Request-Id": f"{kind}-{number}",
            "X-Deadline-Ms": str(self.draw.randrange(4000, 6000)),
            "Authorization": f"Token {options['key']}",
            "X-Model": "m0",
            "X-Token-Usage": "1460,80",
            "X-Prompt-Prefix": ",".join(f"{part}:300" for part in parts),
        }
        leave_s = options["leave_after_s"] if kind == "bad" else 0.0
        timeout = urllib3.Timeout(connect=1.0, read=leave_s or 8.0)
        port = self.draw.choice(options["ports"])
        url = f"http://127.0.0.1:{port}{options['path']}{kind}/{number}"
        sent_s, status, is_whole = time.monotonic(), 0, False
        try:
            answer = POOL.request(
                "POST", url, headers=headers, body=b"%d" % number, timeout=timeout
            )
            status = answer.status
            is_whole = answer.data.count(b"data:") == options["events"]
        except urllib3.exceptions.HTTPError:
            pass
        took_s = time.monotonic() - sent_s
        print(f"{kind} {parts[0]} {sent_s:.4f} {took_s:.4f} {status} {is_whole:d}")


if __name__ == "__main__":
    Callers(json.loads(sys.argv[1])).run()
