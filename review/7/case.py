"""A model replica fails a resumable stream with a body that does not end whole."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from world import (  # noqa: E402
    STREAM_HEADERS,
    Client,
    answer_soundly,
    has_trouble,
    head_of,
    play,
    route,
)

#: requests for each kind of failure.
REQUESTS = 8
PIECE = b"x" * 8192
#: the failure with a length, and how much of it never comes.
FAILURE_BYTES, MISSING_BYTES = 300_000, 100


def answer_endlessly(replica, connection, request) -> bool:
    """Answer 500, and go on until the caller closes."""
    replica.record.add(replica.replica_id, f"answers {request.request_id} 500, no end")
    connection.sendall(head_of(request, replica.replica_id, 500))
    sent = 0
    try:
        while True:
            connection.sendall(PIECE)
            sent += len(PIECE)
            time.sleep(0.01)
    except OSError:
        replica.record.add(
            replica.replica_id, f"{request.request_id} closed after {sent} bytes"
        )
    return False


def answer_in_part(replica, connection, request) -> bool:
    """Answer 500 with a length, and close before the last bytes."""
    length = f"Content-Length: {FAILURE_BYTES}"
    head = head_of(request, replica.replica_id, 500, length)
    connection.sendall(head + b"x" * (FAILURE_BYTES - MISSING_BYTES))
    replica.record.add(
        replica.replica_id,
        f"answers {request.request_id} 500, {FAILURE_BYTES} bytes announced,"
        f" {MISSING_BYTES} of them never sent",
    )
    return False


def prompt(number: int) -> dict:
    """Return the headers of a conversation of its own; each replica gets some."""
    prefix = f"5c1e{number:04x}:800,e4402b{number:02x}:250"
    return {**STREAM_HEADERS, "X_Prompt_Prefix": prefix}


def ask(world, client, request_id, number):
    """Send a stream's request, and record what comes."""
    client.send(request_id, "/stream/x", **prompt(number))
    answer = client.receive(8.0)
    body, is_complete = answer.body() if answer.status else (answer.raw, False)
    padding = body.count(b"x")
    world.record.add(
        "client",
        f"{request_id} gets {answer.status or 'no status line'}, signature"
        f" {answer.header('X-Replica-Signature') or 'none'}, {len(body)} bytes of"
        f" body, {padding} of them of i-faulty, complete: {is_complete}, begins with"
        f" {answer.raw[:40]!r}, ends with {body[-40:]!r}, after {answer.took_s:.2f} s",
    )
    is_mixed = is_complete and padding > len(body) // 2
    return answer, is_mixed and (b"i-sound" in body or b"data: " in body)


def case(world) -> list[str]:
    faulty = world.add_replica("i-faulty")
    world.add_replica("i-sound")
    world.put_configuration([route("/stream/", "stream", "engines", resumable=True)])
    (gateway,) = world.add_gateways(1)
    broken = []
    for number in range(2 * REQUESTS):
        is_endless = number < REQUESTS
        faulty.answer = answer_soundly
        if has_trouble():
            faulty.answer = answer_endlessly if is_endless else answer_in_part
        request_id = f"stream-{number}"
        client = Client(world.record, gateway)
        answer, is_mixed = ask(world, client, request_id, number)
        if is_mixed:
            broken.append(
                f"MIXED: {request_id} gets {answer.status} with the signature of"
                " i-faulty; its body begins with bytes of i-faulty, whose answer was"
                " not whole, goes on with those of i-sound, and is complete"
            )
        if not is_endless and answer.status and b"onnection: close" not in answer.head:
            faulty.answer = answer_soundly
            try:
                following, _ = ask(world, client, f"next-{number}", number)
            except OSError:
                client.close()
                continue
            if following.raw and not following.raw.startswith(b"HTTP/1.1 "):
                broken.append(
                    f"MIXED: next-{number}, sent on the connection of {request_id},"
                    f" gets bytes that are no answer: {following.raw[:40]!r}"
                )
        client.close()
    return broken


play(FOLDER, case)
