"""The story of one request and what decided its end."""

from collections.abc import Iterable

import attrs

from kumquatseam.explain._lines import LogLine

#: lines about the request's upstreams count as its background when written
#: this long before its last line or after its first: longest client deadline.
BACKGROUND_S = 15.0

_REFUSALS = {
    "no_configuration": "the process had read no configuration yet",
    "no_route": "no route of the configuration in force matched host and path",
    "unknown_key": "the key is in no team of the configuration in force",
    "malformed": "a header could not be understood",
    "no_upstream": "no upstream took work: all were leaving, loading, failing or gone",
    "overloaded": "the wait at every engine was longer than its route bears",
    "all_refused": "several upstreams in a row refused it without running it",
    "retry_budget_spent": "it failed once and the retry budget was spent",
    "timed_out": "its time (the client's deadline or the route's) ran out",
    "answer_broken": "the upstream's answer broke off and it may not run again",
    "quarantined": "upstreams crashed under the same request before",
    "over_quota": "its team had used up its quota; the keeper's line has the figures",
    "internal_fault": "the router itself failed; see the trace in its line",
}


@attrs.frozen
class Story:
    """What happened to one request.

    :param request_id: the request.
    :param lines: its own lines, in time order.
    :param background: lines about the upstreams it met, in time order.
    :param cause: what decided its end, in plain words.
    """

    request_id: str
    lines: tuple[LogLine, ...]
    background: tuple[LogLine, ...]
    cause: str


def tell_story(request_id: str, lines: Iterable[LogLine]) -> Story:
    """Return the story of ``request_id``.

    :param lines: lines of every process, in any order.
    """
    known = sorted(lines, key=lambda line: line.time_s)
    own = [line for line in known if line.fields.get("request") == request_id]
    return Story(request_id, tuple(own), tuple(_background(own, known)), _cause(own))


def _background(own: list[LogLine], known: list[LogLine]) -> list[LogLine]:
    if not own:
        return []
    first_s = own[0].time_s - BACKGROUND_S
    last_s = own[-1].time_s + BACKGROUND_S
    processes = {line.process for line in own}
    upstreams = {line.fields.get("upstream") for line in own} - {None}
    return [
        line
        for line in known
        if "request" not in line.fields
        and line.process in processes
        and first_s <= line.time_s <= last_s
        and line.fields.get("upstream") in upstreams
    ]


def _cause(own: list[LogLine]) -> str:
    if not own:
        return "no line names this request; was it sent to these processes?"
    last = own[-1]
    if last.event == "Refused.":
        return _refusal_cause(last, own)
    if last.event == "Answered.":
        return _answer_cause(last, own)
    if last.event == "The caller left.":
        return f"the caller left, after: {_last_step(own[:-1])}"
    return f"still in progress, or its process ended; last step: {_last_step(own)}"


def _refusal_cause(last: LogLine, own: list[LogLine]) -> str:
    reason = str(last.fields.get("reason"))
    text = f"refused with {last.fields.get('status')}: {_REFUSALS.get(reason, reason)}"
    failed = [line for line in own if line.event == "Attempt failed."]
    if failed:
        details = "; ".join(
            f"{line.fields.get('upstream')}: {line.fields.get('detail')}"
            for line in failed
        )
        text += f" (attempts: {details})"
    return text


def _answer_cause(last: LogLine, own: list[LogLine]) -> str:
    fields = last.fields
    text = f"answered with {fields.get('status')} after {fields.get('took_s')} s"
    if fields.get("first_event_s") is not None:
        text += f", first event after {round(float(fields['first_event_s']), 3)} s"
    placed = [line for line in own if line.event == "Placed."]
    if placed:
        before = placed[-1].fields
        text += (
            f"; placed behind {before.get('running')} requests and "
            f"{before.get('pending_tokens')} tokens to read, with "
            f"{before.get('held_tokens')} of {before.get('prompt_tokens')} held"
        )
    went_on = [line for line in own if line.event == "Stream went on."]
    if went_on:
        pauses = ", ".join(str(line.fields.get("pause_s")) for line in went_on)
        text += f"; paused {pauses} s while its run moved"
    return text


def _last_step(lines: list[LogLine]) -> str:
    return lines[-1].text() if lines else "nothing"
