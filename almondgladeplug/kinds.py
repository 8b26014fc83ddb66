"""Kinds of service: plain HTTP services and model engines."""

import itertools
import json

import orjson
import xxhash

from almondglade.errors import TargetError
from almondglade.kinds import Load, ServiceKind, Size, Usage, UsageMeter
from almondglade.outcome import Code, RequestError

CHARACTERS_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256
PREFIX_CHARACTERS = 256
MAX_OUTPUT_TOKENS = 1_000_000
MAX_CHOICES = 128
MAX_EVENT_BYTES = 1 << 16
EVENT_START = b"data: {"
USAGE_KEY = b'"usage"'


def parse_gauges(text):
    """Return the samples of a Prometheus text exposition, summed by name."""
    gauges: dict[str, float] = {}
    for line in text.splitlines():
        if line and not line.startswith("#"):
            series, _, value = line.rpartition(" ")
            name = series.partition("{")[0]
            gauges[name] = gauges.get(name, 0.0) + float(value)
    return gauges


def _parse_load(text, running_metric, waiting_metric):
    try:
        gauges = parse_gauges(text)
        return Load(
            repr(gauges["process_start_time_seconds"]),
            int(gauges[running_metric]),
            int(gauges.get(waiting_metric, 0)),
        )
    except (KeyError, ValueError) as error:
        raise TargetError(f"cannot parse the load report: {error}") from error


class PlainService(ServiceKind):
    """A plain HTTP service."""

    name = "plain"

    def parse_load(self, text):
        """Read the number of requests in progress."""
        return _parse_load(text, "http_requests_in_progress", "http_requests_waiting")


class Engine(ServiceKind):
    """A model engine with the OpenAI interface and vLLM's metrics."""

    name = "engine"
    preemptible = True

    def check(self, request):
        """Raise `RequestError` if the body is not a valid completion request."""
        document = _parse_body(request.body)
        prompt = document.get("messages", document.get("prompt"))
        if not isinstance(prompt, str | list) or not prompt:
            raise RequestError(Code.BAD_REQUEST, "messages or prompt is missing")
        if not isinstance(document.get("stream"), bool | None):
            raise RequestError(Code.BAD_REQUEST, "stream must be true or false")
        _prompt_text(document)  # raises if the prompt cannot be encoded
        _check_count("max_tokens", _max_tokens(document), MAX_OUTPUT_TOKENS)
        _check_count("n", _choice_count(document), MAX_CHOICES)

    def size(self, request):
        """Estimate the tokens from the prompt length and the output limit."""
        document = _parse_body(request.body)
        prompt = _prompt_text(document)
        prefix_key = f"{request.workspace}\0{prompt[:PREFIX_CHARACTERS]}"
        return Size(
            1 + len(prompt) // CHARACTERS_PER_TOKEN,
            _max_tokens(document) * _choice_count(document),
            xxhash.xxh64_intdigest(prefix_key.encode()),
        )

    def is_idempotent(self, service, request):
        """Return True: a generation has no side effects, so it may be sent again."""
        return True

    def meter(self):
        """Return a meter that reads the usage reported in the response."""
        return CompletionMeter()

    def parse_load(self, text):
        """Read vLLM's gauges of running and waiting requests."""
        return _parse_load(
            text, "vllm:num_requests_running", "vllm:num_requests_waiting"
        )


class CompletionMeter(UsageMeter):
    """Counts the events of a stream and reads the usage reported at its end.

    The events serve as the count of output tokens until the usage is reported.
    """

    def __init__(self):
        super().__init__()
        self._tail = b""

    def feed(self, chunk):
        """Process the next bytes of the response."""
        if not self._tail and chunk[-2:] == b"\n\n" and USAGE_KEY not in chunk:
            self.usage.output_tokens += chunk.count(EVENT_START)
            return
        *lines, self._tail = (self._tail + chunk).split(b"\n")
        self._tail = self._tail[-MAX_EVENT_BYTES:]
        for line in itertools.chain(lines, [self._tail]):
            self._read_line(line)

    def _read_line(self, line):
        if line.startswith(EVENT_START):
            self.usage.output_tokens += line is not self._tail
            line = line[len(b"data: ") :]
        if USAGE_KEY not in line or not line.endswith(b"}"):
            return
        try:
            reported = _parse_usage(line)
            details = reported.get("prompt_tokens_details") or {}
            self.usage = Usage(
                int(reported.get("prompt_tokens", 0)),
                int(details.get("cached_tokens", 0)),
                int(reported.get("completion_tokens", self.usage.output_tokens)),
            )
        except (AttributeError, TypeError, ValueError):
            return


def _parse_usage(line):
    """Return the usage in an event, or in the buffered end of a long response."""
    try:
        return orjson.loads(line).get("usage") or {}
    except orjson.JSONDecodeError:
        # Quotes inside strings are escaped, so the unescaped "usage" is a key.
        after = line.rpartition(USAGE_KEY)[2].decode("utf-8", "replace")
        return json.JSONDecoder().raw_decode(after.lstrip(" \t:"))[0] or {}


def _parse_body(body):
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise RequestError(Code.BAD_REQUEST, f"body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise RequestError(Code.BAD_REQUEST, "body must be a JSON object")
    return document


def _max_tokens(document):
    value = document.get("max_completion_tokens", document.get("max_tokens"))
    return DEFAULT_OUTPUT_TOKENS if value is None else value


def _choice_count(document):
    value = document.get("n")
    return 1 if value is None else value


def _check_count(name, value, largest):
    if type(value) is not int or not 1 <= value <= largest:
        raise RequestError(
            Code.BAD_REQUEST, f"{name} must be an integer from 1 to {largest}"
        )


def _prompt_text(document):
    prompt = document.get("messages", document.get("prompt"))
    try:
        return prompt if isinstance(prompt, str) else orjson.dumps(prompt).decode()
    except orjson.JSONEncodeError as error:
        raise RequestError(Code.BAD_REQUEST, f"the prompt: {error}") from error
