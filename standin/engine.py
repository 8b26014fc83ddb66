"""A simulated model engine with continuous batching and a prefix cache."""

import os
import queue
import threading
import time
from collections import OrderedDict
from dataclasses import dataclass, field

import cherrypy
import orjson

from .journal import Journal
from .report import LaggingGauges

METRIC_BY_GAUGE = {
    "running": "vllm:num_requests_running",
    "waiting": "vllm:num_requests_waiting",
}
CACHE_BLOCK_CHARACTERS = 64
CHARACTERS_PER_TOKEN = 4
IDLE_SECONDS = 0.002
STREAM_TIMEOUT_SECONDS = 120
# A request that contains this text makes the engine's process exit at once.
POISON = b"crash the engine"
POISON_EXIT_STATUS = 70


@dataclass(frozen=True)
class EngineProfile:
    """Speed and capacity of an engine; times in seconds.

    Parameters
    ----------
    step : float
        Time of one decoding step with a single sequence.
    step_per_sequence : float
        Time added to a step for each further sequence.
    prefill_per_token : float
        Time to compute one prompt token that is not cached.
    cache_tokens : int
        Capacity of the prefix cache, prompt tokens.
    max_batch : int
        Most sequences in a batch.
    tokens_per_step : int
        Tokens that each sequence gains in a step, sent in one event.
    knee : int
        Number of sequences above which the step time also grows with the square
        of their number, as when they no longer fit into the engine's memory.
    cold_seconds : float
        Warm-up time after the start, during which more than `cold_limit` sequences
        make every step `collapse_factor` times as long.
    """

    step: float = 0.01
    step_per_sequence: float = 0.0002
    prefill_per_token: float = 0.00005
    cache_tokens: int = 20_000
    max_batch: int = 64
    cold_seconds: float = 0.0
    cold_limit: int = 2
    collapse_factor: float = 10.0
    tokens_per_step: int = 1
    knee: int = 64

    def step_time(self, running):
        """Return the duration of a decoding step of a warm engine, seconds."""
        seconds = self.step + self.step_per_sequence * (running - 1)
        return seconds * max(1.0, running / self.knee) ** 2


@dataclass
class Sequence:
    """One generation that is queued or in progress."""

    prompt: str
    max_tokens: int
    token_queue: queue.SimpleQueue = field(default_factory=queue.SimpleQueue)
    cached_tokens: int = 0
    produced_tokens: int = 0
    cancelled: bool = False

    @property
    def prompt_tokens(self):
        """Length of the prompt, tokens."""
        return 1 + len(self.prompt) // CHARACTERS_PER_TOKEN


class PrefixCache:
    """Prefix cache in blocks, with least recently used eviction."""

    def __init__(self, tokens):
        self.capacity = tokens * CHARACTERS_PER_TOKEN // CACHE_BLOCK_CHARACTERS
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def admit(self, prompt):
        """Return how many tokens of a prompt are cached, then cache all of it."""
        step = CACHE_BLOCK_CHARACTERS
        hashes = [hash(prompt[:end]) for end in range(step, len(prompt) + 1, step)]
        hits = 0
        for block in hashes:
            if block not in self._blocks:
                break
            hits += 1
        for block in hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.capacity:
            self._blocks.popitem(last=False)
        return hits * step // CHARACTERS_PER_TOKEN


class Engine:
    """Runs all sequences in one batch, step by step, in a background thread."""

    def __init__(self, profile, lag=0.0):
        self.profile = profile
        self.gauges = LaggingGauges(lag)
        self.cache = PrefixCache(profile.cache_tokens)
        self.prefilled_tokens = 0
        self.cached_tokens = 0
        self.peak_running = 0
        self.collapsed_steps = 0
        self.abandoned_tokens = 0
        self.started_at = time.monotonic()
        self._waiting: queue.SimpleQueue = queue.SimpleQueue()
        self._batch: list[Sequence] = []
        threading.Thread(target=self._run, daemon=True).start()

    def submit(self, sequence):
        """Queue a sequence; its `token_queue` receives its tokens, then None."""
        self._waiting.put(sequence)

    def _run(self):
        while True:
            prefill_tokens = self._admit()
            self._drop_cancelled()
            running = len(self._batch)
            self.peak_running = max(self.peak_running, running)
            self.gauges.record(running=running, waiting=self._waiting.qsize())
            if not running:
                time.sleep(IDLE_SECONDS)
                continue
            time.sleep(self._step_time(running, prefill_tokens))
            self._emit_tokens()

    def _drop_cancelled(self):
        self.abandoned_tokens += sum(
            s.produced_tokens + s.prompt_tokens - s.cached_tokens
            for s in self._batch
            if s.cancelled
        )
        self._batch = [s for s in self._batch if not s.cancelled]

    def _admit(self):
        prefill_tokens = 0
        while len(self._batch) < self.profile.max_batch and not self._waiting.empty():
            sequence = self._waiting.get()
            sequence.cached_tokens = self.cache.admit(sequence.prompt)
            prefill_tokens += max(0, sequence.prompt_tokens - sequence.cached_tokens)
            self.cached_tokens += sequence.cached_tokens
            self._batch.append(sequence)
        self.prefilled_tokens += prefill_tokens
        return prefill_tokens

    def _step_time(self, running, prefill_tokens):
        profile = self.profile
        seconds = (
            profile.step_time(running) + profile.prefill_per_token * prefill_tokens
        )
        cold = time.monotonic() - self.started_at < profile.cold_seconds
        if cold and running > profile.cold_limit:
            seconds *= profile.collapse_factor
            self.collapsed_steps += 1
        return seconds

    def _emit_tokens(self):
        for sequence in self._batch:
            before = sequence.produced_tokens
            sequence.produced_tokens = min(
                sequence.max_tokens, before + self.profile.tokens_per_step
            )
            numbers = range(before + 1, sequence.produced_tokens + 1)
            sequence.token_queue.put("".join(f"t{number} " for number in numbers))
            if sequence.produced_tokens >= sequence.max_tokens:
                sequence.token_queue.put(None)
        self._batch = [s for s in self._batch if s.produced_tokens < s.max_tokens]


class EngineApp:
    """HTTP interface of the engine."""

    def __init__(self, engine, journal=None):
        self.engine = engine
        self.journal = journal or Journal()
        self.request_ids: list[str] = []
        self.arrival_times: list[float] = []

    @cherrypy.expose
    def metrics(self):
        """Serve the load metrics."""
        cherrypy.response.headers["Content-Type"] = "text/plain"
        return self.engine.gauges.render(METRIC_BY_GAUGE)

    @cherrypy.expose
    def ledger(self):
        """Serve the requests received and the work done, as JSON."""
        cherrypy.response.headers["Content-Type"] = "application/json"
        return orjson.dumps(
            {
                "requests": self.request_ids,
                "times": self.arrival_times,
                "prefilled": self.engine.prefilled_tokens,
                "cached": self.engine.cached_tokens,
                "peak": self.engine.peak_running,
                "collapsed_steps": self.engine.collapsed_steps,
                "abandoned_tokens": self.engine.abandoned_tokens,
                "processor_seconds": time.process_time(),
            }
        )

    @cherrypy.expose
    def default(self, *parts, **query):
        """Run a completion request."""
        http = cherrypy.request
        self.request_ids.append(http.headers.get("X-Request-Id", ""))
        self.arrival_times.append(time.time())
        length = int(http.headers.get("Content-Length") or 0)
        document = orjson.loads(http.rfile.read(length))
        self.journal.write(request_id=self.request_ids[-1], path=http.path_info)
        if POISON in orjson.dumps(document):
            os._exit(POISON_EXIT_STATUS)
        prompt = document.get("prompt") or orjson.dumps(document["messages"]).decode()
        sequence = Sequence(prompt, int(document.get("max_tokens") or 256))
        self.engine.submit(sequence)
        if not document.get("stream"):
            return self._complete_response(sequence)
        cherrypy.response.stream = True
        cherrypy.response.headers["Content-Type"] = "text/event-stream"
        return self._stream_response(sequence)

    def _complete_response(self, sequence):
        text = "".join(
            iter(lambda: sequence.token_queue.get(timeout=STREAM_TIMEOUT_SECONDS), None)
        )
        cherrypy.response.headers["Content-Type"] = "application/json"
        message = {"role": "assistant", "content": text}
        return orjson.dumps(
            {
                "object": "chat.completion",
                "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
                "usage": _make_usage(sequence),
            }
        )

    def _stream_response(self, sequence):
        try:
            while True:
                token = sequence.token_queue.get(timeout=STREAM_TIMEOUT_SECONDS)
                if token is None:
                    break
                delta = {"choices": [{"index": 0, "delta": {"content": token}}]}
                yield b"data: " + orjson.dumps(delta) + b"\n\n"
            end = {"choices": [], "usage": _make_usage(sequence)}
            yield b"data: " + orjson.dumps(end) + b"\n\ndata: [DONE]\n\n"
        finally:
            sequence.cancelled = True


def _make_usage(sequence):
    return {
        "prompt_tokens": sequence.prompt_tokens,
        "completion_tokens": sequence.produced_tokens,
        "total_tokens": sequence.prompt_tokens + sequence.produced_tokens,
        "prompt_tokens_details": {"cached_tokens": sequence.cached_tokens},
    }
