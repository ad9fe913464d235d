"""Callers that send requests at a steady or bursting rate, whatever becomes of them.

Usage: open_loop.py RATE SECONDS BURST_S SEED KEY PORT...

Half of the requests are idempotent. With BURST_S over 0 the requests of each such time
are sent at its beginning. Prints one line for each request: when it was sent and how
long it took, in seconds, its status (0 without a response) and its Retry-After.
"""

from gevent import monkey

monkey.patch_all()

import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
import urllib3  # noqa: E402

DEADLINE_S = 2.0
POOL = urllib3.PoolManager(
    retries=False,
    maxsize=64,
    timeout=urllib3.Timeout(connect=1.0, read=DEADLINE_S + 0.5),
)


def call(number, port, key):
    """Send one request and print its outcome."""
    method = ("GET", "POST")[number % 2]
    headers = {
        "Host": "a.example",
        "X-Request-Id": f"open-{number}",
        "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        "Authorization": f"Token {key}",
    }
    path = "safe" if method == "GET" else "plain"
    sent_s = time.monotonic()
    retry_after = ""
    try:
        answer = POOL.request(
            method,
            f"http://127.0.0.1:{port}/{path}/{number}",
            headers=headers,
            body=b"x" if method == "POST" else None,
        )
        status, retry_after = answer.status, answer.headers.get("Retry-After", "")
    except urllib3.exceptions.HTTPError:
        status = 0
    took_s = time.monotonic() - sent_s
    print(f"{sent_s:.4f} {took_s:.4f} {status} {retry_after or '-'}")


def main():
    rate, for_s, burst_s = map(float, sys.argv[1:4])
    draw = random.Random(int(sys.argv[4]))
    key, ports = sys.argv[5], [int(port) for port in sys.argv[6:]]
    began_s = time.monotonic()
    calls = []
    for number in range(int(rate * for_s)):
        due_s = number / rate
        if burst_s:
            due_s -= due_s % burst_s
        gevent.sleep(max(0.0, began_s + due_s - time.monotonic()))
        calls.append(gevent.spawn(call, number, draw.choice(ports), key))
    gevent.joinall(calls)


if __name__ == "__main__":
    main()
