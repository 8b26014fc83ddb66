"""HTTP headers that callers and targets of the platform use."""

import math
import re
from dataclasses import dataclass

from ..entry.relaying import end_to_end
from ..placement.moments import TargetLoad

REQUEST_ID_HEADER = "X-Request-Id"
API_KEY_HEADER = "x-credential"
WORKSPACE_HEADER = "X-Tenant-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
EXPECTED_TARGET_HEADER = "X-Expect-Instance"
LAST_EVENT_ID_HEADER = "Last-Event-Id"
RESUMED_REQUEST_HEADER = "resumes"
TOKEN_USAGE_HEADER = "x-token-usage"
LENGTH_HINT_HEADER = "x-length-hint"
PROMPT_PARTS_HEADER = "x-prompt-prefix"
NOT_EXECUTED_HEADER = "x-not-executed"
LOAD_HEADER = "x-server-load"
RATE_LIMIT_HEADER = "server-limit"
# How many refusals in a second a brittle target bears.
REFUSAL_LIMIT_HEADER = "server-brittle"
LEAVING_HEADER = "server-leaving"
LEAVING = "1"
RETRY_AFTER_HEADER = "retry-after"
SEAL_HEADER = "x-response-seal"
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
FIRST_FAILURE_STATUS = 400
# Request headers that only this system may set; those of callers are dropped.
NOT_FOR_TARGETS = frozenset(
    {
        API_KEY_HEADER,
        "content-length",
        WORKSPACE_HEADER.lower(),
        DEADLINE_HEADER.lower(),
        EXPECTED_TARGET_HEADER.lower(),
        "x-expect-version",
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
    }
)
# Response headers of targets that concern this system only.
NOT_FOR_CALLERS = frozenset(
    {
        LOAD_HEADER,
        RATE_LIMIT_HEADER,
        REFUSAL_LIMIT_HEADER,
        LEAVING_HEADER,
        "x-instance-id",
        "x-cold-ms",
    }
)
# Parts beyond these are ignored, so that a header cannot cost much time.
MAX_PROMPT_PARTS = 64
# Digits enough for any limit; a longer number could be infinite.
LIMIT_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
TOKEN_COUNTS_PATTERN = re.compile(r"\s*([0-9]{1,9})\s*,\s*([0-9]{1,9})\s*")
# Larger numbers in a header count as this one, which every codec can carry: digits
# enough for any number of tokens, or for eleven days in milliseconds.
MAX_COUNT_DIGITS = 9
MAX_COUNT = 10**MAX_COUNT_DIGITS - 1
# Requests running, waiting and slots, then how long work takes in percent.
LOAD_PATTERN = re.compile(
    r"([0-9]{1,6})\s*,\s*([0-9]{1,6})\s*,\s*([0-9]{1,6})"
    r"(?:\s*,\s*([0-9]{1,6}(?:\.[0-9]{1,6})?))?"
)
USUAL_DURATION_PERCENT = 100.0
MILLISECONDS_PER_SECOND = 1000.0


@dataclass(frozen=True)
class CallerHeaders:
    """Values of the headers of a caller's request; None for those not given.

    Parameters
    ----------
    request_id : str or None
    host : str
        Requested host in lower case, without a port; empty if not given.
    api_key : str or None
    time_limit : float or None
        Seconds for which the caller waits.
    input_tokens, output_tokens : int or None
        Tokens of the prompt, and the largest number that may be generated.
    last_event_id : str or None
        Id of the last event that the caller received of a stream, which resumes
        after it.
    expected_tokens : int or None
        Caller's estimate of the tokens that will be generated.
    resumed_request : str or None
        Id of the request that brought the first event of a stream that this one
        resumes.
    prompt_parts : tuple of str
        Ids of the parts of its prompt, in order; the last is its own or its session's,
        the others are shared with other requests.
    last_part_tokens : int or None
        Tokens of the last of these parts.
    """

    request_id: str | None
    host: str
    api_key: str | None
    time_limit: float | None
    input_tokens: int | None
    output_tokens: int | None
    last_event_id: str | None
    expected_tokens: int | None = None
    resumed_request: str | None = None
    prompt_parts: tuple[str, ...] = ()
    last_part_tokens: int | None = None


def parse_caller_headers(pairs):
    """Return the `CallerHeaders` of a request.

    Parameters
    ----------
    pairs : iterable of (str, str)
        Names and values of its headers.
    """
    by_name = {name.lower(): value for name, value in pairs}
    tokens = TOKEN_COUNTS_PATTERN.fullmatch(by_name.get(TOKEN_USAGE_HEADER, ""))
    return CallerHeaders(
        by_name.get(REQUEST_ID_HEADER.lower()),
        by_name.get("host", "").partition(":")[0].lower(),
        by_name.get(API_KEY_HEADER),
        _parse_milliseconds(by_name.get(DEADLINE_HEADER.lower())),
        int(tokens[1]) if tokens else None,
        int(tokens[2]) if tokens else None,
        by_name.get(LAST_EVENT_ID_HEADER.lower()),
        _parse_count(by_name.get(LENGTH_HINT_HEADER)),
        by_name.get(RESUMED_REQUEST_HEADER),
        _parse_prompt_parts(by_name.get(PROMPT_PARTS_HEADER, "")),
        _parse_count(by_name.get(PROMPT_PARTS_HEADER, "").rpartition(":")[2].strip()),
    )


def _parse_prompt_parts(value):
    """Return the ids of comma-separated ``ID:TOKENS`` entries."""
    entries = value.split(",", MAX_PROMPT_PARTS)
    ids = (entry.partition(":")[0].strip().lower() for entry in entries)
    return tuple(part for part in ids if part)


def target_headers(pairs, workspace, target, time_left, last_event_id):
    """Return the headers of a request to a target.

    Parameters
    ----------
    pairs : iterable of (str, str)
        Headers of the caller's request.
    workspace : str or None
        Workspace that the request is for.
    target : str
        Id of the only target that may run the request.
    time_left : float
        Seconds until the response must be complete.
    last_event_id : str or None
        Id of the event after which to resume a stream; None keeps the caller's
        header.
    """
    dropped = NOT_FOR_TARGETS | (
        {LAST_EVENT_ID_HEADER.lower()} if last_event_id else set()
    )
    headers = [
        *end_to_end(pairs, dropped),
        (DEADLINE_HEADER, str(max(1, int(time_left * MILLISECONDS_PER_SECOND)))),
        (EXPECTED_TARGET_HEADER, target),
    ]
    if workspace is not None:
        headers.append((WORKSPACE_HEADER, workspace))
    if last_event_id:
        headers.append((LAST_EVENT_ID_HEADER, last_event_id))
    return tuple(headers)


def relay_headers(pairs, relay_header):
    """Return the headers of a request that is passed to a peer.

    Parameters
    ----------
    pairs : iterable of (str, str)
        Headers of the caller's request.
    relay_header : (str, str)
        Header for the peer; one of the same name from the caller is dropped.
    """
    dropped = frozenset({"content-length", relay_header[0].lower()})
    return (*end_to_end(pairs, dropped), relay_header)


@dataclass(frozen=True)
class TargetResponseInfo:
    """Values from the status line and headers of a target's response.

    Parameters
    ----------
    request_id : str or None
        Id of the request that it responds to.
    not_run : bool
        Whether the target states that it did not run the request.
    misdirected : bool
        Whether the address belongs to another target than the expected one; the
        request was then not run either.
    sealed : bool
        Whether it has the target's seal, without which a success status is not valid.
    rate_limit : float or None
        Requests per second that the target takes from all instances together;
        infinite if it names no limit, None if what it names is not usable.
    refusal_limit : float or None
        Refusals in a second after which the target ends; infinite if it is not
        brittle, None if what it names is not usable.
    is_failure : bool
        Whether the target refused or failed the request.
    is_leaving : bool
        Whether the target says that it is leaving.
    backoff : float or None
        Seconds for which a target that refused the request wants no others; None if it
        does not say, or not in seconds.
    load : TargetLoad or None
        What it says of its load; None if it does not, or nothing that can be true.
    is_load_unusable : bool
        Whether it says something of its load that cannot be true.
    """

    request_id: str | None
    not_run: bool
    misdirected: bool
    sealed: bool
    rate_limit: float | None = math.inf
    refusal_limit: float | None = math.inf
    is_failure: bool = False
    is_leaving: bool = False
    backoff: float | None = None
    load: TargetLoad | None = None
    is_load_unusable: bool = False


def headers_for_callers(pairs):
    """Return the headers of a target's response that its caller may see.

    Parameters
    ----------
    pairs : iterable of (str, str)
    """
    return tuple(pair for pair in pairs if pair[0].lower() not in NOT_FOR_CALLERS)


def parse_target_response(head):
    """Return the `TargetResponseInfo` of an `ResponseHead`."""
    by_name = {name.lower(): value for name, value in head.headers}
    misdirected = head.status == MISDIRECTED_STATUS
    # Another target that answers at the address speaks for itself.
    load_texts = [] if misdirected else _values(head.headers, LOAD_HEADER)
    load = _parse_load(load_texts)
    return TargetResponseInfo(
        by_name.get(REQUEST_ID_HEADER.lower()),
        misdirected or NOT_EXECUTED_HEADER in by_name,
        misdirected,
        SEAL_HEADER in by_name,
        _parse_limit(head.headers, RATE_LIMIT_HEADER),
        _parse_limit(head.headers, REFUSAL_LIMIT_HEADER),
        head.status >= FIRST_FAILURE_STATUS,
        not misdirected and by_name.get(LEAVING_HEADER, "").strip() == LEAVING,
        _parse_seconds(by_name.get(RETRY_AFTER_HEADER, ""))
        if head.status == UNAVAILABLE_STATUS
        else None,
        load,
        bool(load_texts) and load is None,
    )


def _parse_seconds(text):
    return float(text.strip()) if LIMIT_PATTERN.fullmatch(text.strip()) else None


def _parse_limit(pairs, header):
    """Return the lowest limit that the headers of one name state."""
    values = _values(pairs, header)
    limits = [float(value) for value in values if LIMIT_PATTERN.fullmatch(value)]
    return min(limits, default=None if values else math.inf)


def _values(pairs, header):
    return [value.strip() for name, value in pairs if name.lower() == header]


def _parse_load(texts):
    """Return the `TargetLoad` in the values of the load headers, or None."""
    match = LOAD_PATTERN.fullmatch(texts[0]) if len(texts) == 1 else None
    if match is None:
        return None
    running, waiting, slots, percent = match.groups()
    duration = None if percent is None else float(percent) / USUAL_DURATION_PERCENT
    load = TargetLoad(int(running), int(waiting), int(slots), duration)
    return load if load.is_plausible else None


def _parse_count(text):
    """Return the number in a header, at most `MAX_COUNT`, or None if it is none."""
    if text is None or not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip("0") or "0"
    return int(digits) if len(digits) <= MAX_COUNT_DIGITS else MAX_COUNT


def _parse_milliseconds(text):
    """Return the seconds in a header that gives milliseconds, or None."""
    count = _parse_count(text)
    return None if count is None else count / MILLISECONDS_PER_SECOND
