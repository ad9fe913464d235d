"""Explanation of the outcome of one request."""

from collections.abc import Iterable

import attrs

from kumquatseam.explain._lines import LogLine

#: lines about the request's upstreams are included from this long before the
#: request's first line until this long after its last: the longest client deadline.
BACKGROUND_MARGIN_S = 15.0

_REFUSALS = {
    "no_configuration": "the instance had not yet read a configuration",
    "no_route": "no route of the active configuration matches its host and path",
    "unknown_key": "no team of the active configuration has its API key",
    "malformed": "a header is malformed",
    "no_upstream": "no upstream available: all were leaving, loading, failing or gone",
    "overloaded": "the wait at every engine exceeded the limit of its route",
    "all_refused": "several upstreams in a row rejected it without running it",
    "retry_budget_spent": "an attempt failed and the retry budget was exhausted",
    "timed_out": "the deadline of the client or the timeout of the route passed",
    "answer_broken": "the upstream's response was interrupted; a retry is not allowed",
    "quarantined": "upstreams crashed while running the same request before",
    "limits_used_up": "every upstream announced a limit, and none had room",
    "upstreams_full": "every upstream was brittle and ran as many requests as it bears",
    "upstreams_resting": "every upstream of the service had asked for rest",
    "stream_origin_unknown": "no instance knew which software version began its stream",
    "software_version_gone": "no replica of the version that began its stream serves",
    "stopping": "the instance stopped, and it would have taken longer than was left",
    "over_quota": "its team exceeded its quota; the quota owner's log has the usage",
    "internal_fault": "internal error of the router; see the traceback in its log line",
}

_CUT_BY = {
    "caller": "its caller",
    "upstream": "its upstream",
    "transport": "what carried the connection to its upstream",
    "deadline": "its deadline or its route's timeout",
    "silence": "the limit on its upstream's silence",
    "move": "the move of its run",
    "grace": "the grace of replaced weights",
    "stop": "the stop of the instance",
    "internal_error": "an error of the router",
}


@attrs.frozen
class RequestExplanation:
    """Log lines and outcome of one request.

    :param request_id: id of the request.
    :param lines: log lines of the request, in time order.
    :param background: log lines about the upstreams named in them, in time order.
    :param cause: why it ended as it did, as a sentence.
    """

    request_id: str
    lines: tuple[LogLine, ...]
    background: tuple[LogLine, ...]
    cause: str


def explain_request(request_id: str, lines: Iterable[LogLine]) -> RequestExplanation:
    """Return the explanation of request ``request_id``.

    :param lines: log lines of all processes, in any order.
    """
    all_lines = sorted(lines, key=lambda line: line.time_s)
    own = [line for line in all_lines if line.fields.get("request") == request_id]
    return RequestExplanation(
        request_id, tuple(own), tuple(_background(own, all_lines)), _cause(own)
    )


def _background(own: list[LogLine], all_lines: list[LogLine]) -> list[LogLine]:
    if not own:
        return []
    first_s = own[0].time_s - BACKGROUND_MARGIN_S
    last_s = own[-1].time_s + BACKGROUND_MARGIN_S
    processes = {line.process for line in own}
    upstreams = {line.fields.get("upstream") for line in own} - {None}
    return [
        line
        for line in all_lines
        if "request" not in line.fields
        and line.process in processes
        and first_s <= line.time_s <= last_s
        and line.fields.get("upstream") in upstreams
    ]


def _cause(own: list[LogLine]) -> str:
    if not own:
        return (
            "no log line has this request id; was the request sent to these instances?"
        )
    last = own[-1]
    if last.event == "Request cut.":
        return _cut_cause(last)
    if last.event == "Refused.":
        cuts = [line for line in own if line.event == "Request cut."]
        cause = _refusal_cause(last, own)
        return f"{cause}; {_cut_cause(cuts[-1])}" if cuts else cause
    if last.event == "Answered.":
        return _answer_cause(last, own)
    if last.event == "The caller left.":
        return f"the caller disconnected; last step before: {_last_step(own[:-1])}"
    return f"in progress, or the instance was terminated; last step: {_last_step(own)}"


def _cut_cause(cut: LogLine) -> str:
    fields = cut.fields
    began = "no response begun"
    if fields.get("has_begun"):
        began = (
            f"its response had begun with status {fields.get('begun_status')} "
            f"at upstream {fields.get('begun_by')}"
        )
    return (
        f"accepted, and cut by {_CUT_BY.get(str(fields.get('by')), fields.get('by'))} "
        f"({began}; last upstream {fields.get('upstream')}; "
        f"{fields.get('detail')}); "
        f"configuration {fields.get('configuration')}, "
        f"{fields.get('configuration_in_force')} in force; "
        f"weights {fields.get('weights')}, {fields.get('weights_named')} named"
    )


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
    text = (
        f"answered with {fields.get('status')} from {fields.get('begun_by')} "
        f"after {fields.get('took_s')} s"
    )
    if fields.get("first_event_s") is not None:
        text += f", first event after {round(float(fields['first_event_s']), 3)} s"
    placed = [line for line in own if line.event == "Placed."]
    if placed:
        load = placed[-1].fields
        text += (
            f"; placed behind {load.get('running')} requests and "
            f"{load.get('pending_tokens')} tokens to prefill, with "
            f"{load.get('held_tokens')} of {load.get('prompt_tokens')} prompt tokens "
            "cached"
        )
    moves = [line for line in own if line.event == "Stream went on."]
    if moves:
        pauses = ", ".join(str(line.fields.get("pause_s")) for line in moves)
        text += f"; paused {pauses} s while it was moved to another engine"
    return text


def _last_step(lines: list[LogLine]) -> str:
    return lines[-1].text() if lines else "none"
