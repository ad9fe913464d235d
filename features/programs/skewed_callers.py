"""Callers on new connections, most of which go to the first gateway for some seconds.

Usage: skewed_callers.py BEFORE_S RATE PEAK_S PEAK_RATE SHARE SEED KEY PORT...

For BEFORE_S seconds RATE requests a second go to all gateways alike, then for PEAK_S
seconds PEAK_RATE, of which SHARE go to the first one. A caller whose connection is
refused, or closed without an answer, tries other gateways. Prints one line for each
try: when the request was first sent, the number of the try, the gateway's index, how
long the try took, and its status (0: no byte of an answer came).
"""

from gevent import monkey

monkey.patch_all()

import random  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

DEADLINE_S = 2.0
MAX_TRIES = 3
RETRY_PAUSE_S = 0.05
REQUEST = (
    "POST /safe/{number} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: s-{number}\r\n"
    "X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {key}\r\n"
    "Content-Length: 1000\r\nConnection: close\r\n\r\n"
)


def attempt(number, port, key):
    """Send one request on a new connection; return the status, 0 without an answer."""
    request = REQUEST.format(number=number, deadline_ms=int(DEADLINE_S * 1000), key=key)
    answer = b""
    try:
        with socket.create_connection(("127.0.0.1", port), DEADLINE_S) as connection:
            connection.sendall(request.encode() + b"x" * 1000)
            while data := connection.recv(4096):
                answer += data
    except TimeoutError:
        return 504
    except OSError:
        pass  # Refused or reset; what came before counts.
    return int(answer.split()[1]) if answer else 0


def call(number, place, ports, key):
    """Send one request, to other gateways if the first one does not read it."""
    sent_s = time.monotonic()
    for tries in range(1, MAX_TRIES + 1):
        began_s = time.monotonic()
        status = attempt(number, ports[place], key)
        took_s = time.monotonic() - began_s
        print(f"{sent_s:.4f} {tries} {place} {took_s:.4f} {status}")
        if status:
            return
        gevent.sleep(RETRY_PAUSE_S)
        place = (place + 1 + number % (len(ports) - 1)) % len(ports)


def main():
    before_s, rate, peak_s, peak_rate, share = map(float, sys.argv[1:6])
    draw = random.Random(int(sys.argv[6]))
    key, ports = sys.argv[7], [int(port) for port in sys.argv[8:]]
    began_s = time.monotonic()
    due_s = 0.0
    calls = []
    while due_s < before_s + peak_s:
        is_peak = due_s >= before_s
        place = 0
        if not is_peak or draw.random() >= share:
            place = draw.randrange(1 if is_peak else 0, len(ports))
        gevent.sleep(max(0.0, began_s + due_s - time.monotonic()))
        calls.append(gevent.spawn(call, len(calls), place, ports, key))
        due_s += 1.0 / (peak_rate if is_peak else rate)
    gevent.joinall(calls)
    print(f"began {began_s:.4f}")


if __name__ == "__main__":
    main()
