"""A seeded open-loop load generator with tiers and varying output lengths."""

import itertools
import math
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import numpy as np
import orjson
import urllib3
from urllib3.exceptions import HTTPError

WORDS_PER_PREFIX = 60
CONNECT_TIMEOUT_SECONDS = 2.0
MAX_CALLERS = 400


@dataclass(frozen=True)
class Stream:
    """Arrival stream of the requests of one workspace to one service.

    Parameters
    ----------
    rate : float
        Requests per second, arriving as a Poisson process.
    model : str or None
        Model of the completion requests; None for a plain service.
    path : str
        Path of a plain request.
    method : str
        Method of a plain request.
    min_tokens, max_tokens : int
        Range of the output lengths, drawn from a log-uniform distribution.
    prefixes : int
        Number of different prompt prefixes.
    prefix_words : int
        Length of each prefix, in repetitions of its topic.
    read_timeout : float
        Seconds without a received byte after which the caller gives up.
    resends : int
        Retries of a failed request by the caller, without a delay.
    start, stop : float
        Period of the load in which requests arrive, seconds from its beginning.
    """

    workspace: str
    key: str
    tier: int
    rate: float
    model: str | None = None
    path: str = "/v1/chat/completions"
    method: str = "POST"
    min_tokens: int = 4
    max_tokens: int = 400
    prefixes: int = 8
    streamed: bool = True
    prefix_words: int = WORDS_PER_PREFIX
    read_timeout: float = 60.0
    resends: int = 0
    start: float = 0.0
    stop: float = math.inf


@dataclass(frozen=True)
class Arrival:
    """One planned request of the load, `at` seconds after the start."""

    at: float
    number: int
    stream: Stream
    tokens: int = 0
    prefix: int = 0


@dataclass
class Sample:
    """One attempt as its caller saw it; clock readings in seconds from the start."""

    arrival: Arrival
    started_at: float
    status: int = 0
    outcome: str = ""
    code: str = ""
    retry_after: float | None = None
    first_byte_at: float = 0.0
    ended_at: float = 0.0
    tokens: int = 0
    cached_tokens: int = 0
    prompt_tokens: int = 0
    gaps: list[float] = field(default_factory=list)

    @property
    def good(self):
        """Whether the complete response arrived without an error."""
        return self.status == 200 and self.code == ""


def plan_arrivals(streams, seconds, seed):
    """Return all arrivals of a load in order of time.

    Parameters
    ----------
    streams : list of Stream
        Arrival streams that make up the load.
    seconds : float
        Duration of the load.
    seed : int
        Seed of the arrival times, output lengths and prefixes.
    """
    rng = np.random.default_rng(seed)
    arrivals = []
    for stream in streams:
        at, until = stream.start, min(seconds, stream.stop)
        while (at := at + rng.exponential(1 / stream.rate)) < until:
            log_range = np.log(stream.max_tokens / stream.min_tokens)
            tokens = stream.min_tokens * np.exp(rng.uniform(0, log_range))
            prefix = int(rng.integers(stream.prefixes))
            arrivals.append((at, stream, int(tokens), prefix))
    arrivals.sort(key=lambda arrival: arrival[0])
    return [
        Arrival(at, number, stream, tokens, prefix)
        for number, (at, stream, tokens, prefix) in enumerate(arrivals)
    ]


class LoadRun:
    """Sends a planned load to entry instances, round-robin.

    Parameters
    ----------
    urls : list of str
        Base URLs of the instances.
    arrivals : list of Arrival
        Requests to send.
    """

    def __init__(self, urls, arrivals):
        self.urls = list(urls)
        self.arrivals = arrivals
        self.samples: list[Sample] = []
        self.started_at = 0.0
        self._lock = threading.Lock()
        self._request_count = itertools.count()
        self._http = urllib3.PoolManager(
            num_pools=len(self.urls) + 1, maxsize=MAX_CALLERS, retries=False
        )

    def run(self):
        """Send all requests and return the samples."""
        self.started_at = time.monotonic()
        with ThreadPoolExecutor(MAX_CALLERS) as callers:
            for arrival in self.arrivals:
                time.sleep(max(0.0, arrival.at - self._now()))
                callers.submit(self._send, arrival)
        return self.samples

    def _now(self):
        return time.monotonic() - self.started_at

    def _send(self, arrival):
        attempts = range(arrival.stream.resends + 1)
        next((True for _ in attempts if self._attempt(arrival).good), False)

    def _attempt(self, arrival):
        sample = Sample(arrival, self._now())
        url = self.urls[next(self._request_count) % len(self.urls)]
        try:
            response = self._http.request(
                arrival.stream.method,
                url + arrival.stream.path,
                body=_make_body(arrival),
                headers={"Authorization": f"Bearer {arrival.stream.key}"},
                preload_content=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=arrival.stream.read_timeout
                ),
            )
            self._read_response(sample, response)
        except (HTTPError, OSError) as error:
            sample.code = sample.code or type(error).__name__
        sample.ended_at = self._now()
        with self._lock:
            self.samples.append(sample)
        return sample

    def _read_response(self, sample, response):
        sample.status = response.status
        sample.outcome = response.headers.get("X-Almondglade-Outcome", "")
        retry_after = response.headers.get("Retry-After")
        sample.retry_after = float(retry_after) if retry_after else None
        tail, last_chunk_at = b"", 0.0
        for chunk in response.stream(1 << 16):
            now = self._now()
            if last_chunk_at:
                sample.gaps.append(now - last_chunk_at)
            sample.first_byte_at, last_chunk_at = sample.first_byte_at or now, now
            tail = (tail + chunk)[-4096:]
        response.release_conn()
        if response.status != 200:
            sample.code = _error_code(tail)
        elif arrival_is_streamed(sample.arrival):
            self._read_usage(sample, tail)

    @staticmethod
    def _read_usage(sample, tail):
        for line in tail.split(b"\n"):
            if line.startswith(b"data: {") and b'"usage"' in line:
                usage = orjson.loads(line[len(b"data: ") :])["usage"]
                details = usage.get("prompt_tokens_details", {})
                sample.tokens = usage["completion_tokens"]
                sample.prompt_tokens = usage["prompt_tokens"]
                sample.cached_tokens = details.get("cached_tokens", 0)
        if b"data: [DONE]" not in tail:
            sample.code = "truncated"


def arrival_is_streamed(arrival):
    """Return whether an arrival asks for server-sent events."""
    return arrival.stream.model is not None and arrival.stream.streamed


def _make_body(arrival):
    stream = arrival.stream
    if stream.model is None:
        return orjson.dumps({"number": arrival.number, "workspace": stream.workspace})
    prefix = f"{stream.workspace} topic {arrival.prefix} " * stream.prefix_words
    document = {
        "model": stream.model,
        "messages": [{"role": "user", "content": f"{prefix} item {arrival.number}"}],
        "max_tokens": arrival.tokens,
        "stream": stream.streamed,
    }
    return orjson.dumps(document)


def _error_code(body):
    try:
        return orjson.loads(body)["error"]["code"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return "unreadable"


@dataclass(frozen=True)
class Report:
    """Summary of the results of a load.

    Parameters
    ----------
    asked_by_tier, good_by_tier : dict of int to int
        Requests sent and requests completed, by tier.
    codes : dict of str to int
        Errors by code.
    first_token_p50, first_token_p95, gap_p95 : float
        Percentiles of the time to the first byte and of the gaps between received
        chunks, seconds.
    wasted_prompt_tokens : int
        Prompt tokens that were computed again although a cache could have held
        them.
    """

    asked_by_tier: dict[int, int]
    good_by_tier: dict[int, int]
    codes: dict[str, int]
    first_token_p50: float
    first_token_p95: float
    gap_p95: float
    tokens: int
    prompt_tokens: int
    cached_tokens: int
    wasted_prompt_tokens: int = 0


def wasted_prompt_tokens(samples):
    """Return the prompt tokens that complete responses computed again.

    The length that prompts of one prefix share is taken as the most cached tokens
    of any response. A later request whose prefix was not cached counts as wasted in
    full.
    """
    good = sorted((s for s in samples if s.good), key=lambda s: s.started_at)
    shared = max((sample.cached_tokens for sample in good), default=0)
    cached_tokens_by_prefix: dict = {}
    for sample in good:
        key = (sample.arrival.stream.workspace, sample.arrival.prefix)
        cached_tokens_by_prefix.setdefault(key, []).append(sample.cached_tokens)
    return sum(
        max(0, shared - cached)
        for cached_tokens in cached_tokens_by_prefix.values()
        for cached in itertools.islice(cached_tokens, 1, None)
    )


def summarise(samples):
    """Summarise the samples of a load as a `Report`."""
    asked = Counter(s.arrival.stream.tier for s in samples)
    good = Counter(s.arrival.stream.tier for s in samples if s.good)
    first_byte_seconds = [
        s.first_byte_at - s.started_at for s in samples if s.good
    ] or [0.0]
    gaps = list(itertools.chain.from_iterable(s.gaps for s in samples)) or [0.0]
    return Report(
        dict(asked),
        {tier: good.get(tier, 0) for tier in asked},
        dict(Counter(s.code for s in samples if s.code)),
        float(np.percentile(first_byte_seconds, 50)),
        float(np.percentile(first_byte_seconds, 95)),
        float(np.percentile(gaps, 95)),
        sum(s.tokens for s in samples),
        sum(s.prompt_tokens for s in samples),
        sum(s.cached_tokens for s in samples),
        wasted_prompt_tokens(samples),
    )
