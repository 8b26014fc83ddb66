"""A model engine that batches continuously and caches prompt prefixes."""

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
# A prompt with this text ends the engine's process at once.
POISON = b"crash the engine"
EXIT_POISONED = 70


@dataclass(frozen=True)
class EngineProfile:
    """Speed of an engine; times in seconds.

    Parameters
    ----------
    step : float
        Time of one decoding step with one sequence.
    step_per_sequence : float
        Added to a step for each further sequence.
    prefill_per_token : float
        Time to compute one prompt token that is not cached.
    cache_tokens : int
        Prompt tokens kept.
    max_batch : int
        Sequences in a batch.
    tokens_per_step : int
        Tokens that each sequence gains in a step, sent in one event.
    knee : int
        Sequences beyond which a step lengthens with the square of their number,
        as when the memory of the engine no longer holds them all.
    cold_seconds : float
        Time after the start in which more than `cold_limit` sequences make
        every step `collapse_factor` times as long.
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
        """Return the seconds of a decoding step of a warm engine."""
        seconds = self.step + self.step_per_sequence * (running - 1)
        return seconds * max(1.0, running / self.knee) ** 2


@dataclass
class Sequence:
    """One generation in progress."""

    prompt: str
    tokens: int
    out: queue.SimpleQueue = field(default_factory=queue.SimpleQueue)
    cached: int = 0
    produced: int = 0
    cancelled: bool = False

    @property
    def prompt_tokens(self):
        """Length of the prompt."""
        return 1 + len(self.prompt) // CHARACTERS_PER_TOKEN


class PrefixCache:
    """Prompt prefixes in blocks, the least recently used dropped first."""

    def __init__(self, tokens):
        self.capacity = tokens * CHARACTERS_PER_TOKEN // CACHE_BLOCK_CHARACTERS
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def admit(self, prompt):
        """Return the cached tokens of a prompt and cache all of it."""
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
    """Runs sequences in one batch, step by step, in a thread of its own."""

    def __init__(self, profile, lag=0.0):
        self.profile = profile
        self.gauges = LaggingGauges(lag)
        self.cache = PrefixCache(profile.cache_tokens)
        self.prefilled = 0
        self.cached = 0
        self.peak = 0
        self.collapsed_steps = 0
        self.abandoned_tokens = 0
        self.started = time.monotonic()
        self._waiting: queue.SimpleQueue = queue.SimpleQueue()
        self._batch: list[Sequence] = []
        threading.Thread(target=self._run, daemon=True).start()

    def submit(self, sequence):
        """Queue a sequence; its tokens arrive in its `out`, None at the end."""
        self._waiting.put(sequence)

    def _run(self):
        while True:
            prefill = self._admit()
            self._drop_cancelled()
            running = len(self._batch)
            self.peak = max(self.peak, running)
            self.gauges.record(running=running, waiting=self._waiting.qsize())
            if not running:
                time.sleep(IDLE_SECONDS)
                continue
            time.sleep(self._step_time(running, prefill))
            self._emit()

    def _drop_cancelled(self):
        self.abandoned_tokens += sum(
            s.produced + s.prompt_tokens - s.cached for s in self._batch if s.cancelled
        )
        self._batch = [s for s in self._batch if not s.cancelled]

    def _admit(self):
        prefill = 0
        while len(self._batch) < self.profile.max_batch and not self._waiting.empty():
            sequence = self._waiting.get()
            sequence.cached = self.cache.admit(sequence.prompt)
            prefill += max(0, sequence.prompt_tokens - sequence.cached)
            self.cached += sequence.cached
            self._batch.append(sequence)
        self.prefilled += prefill
        return prefill

    def _step_time(self, running, prefill):
        profile = self.profile
        seconds = profile.step_time(running) + profile.prefill_per_token * prefill
        cold = time.monotonic() - self.started < profile.cold_seconds
        if cold and running > profile.cold_limit:
            seconds *= profile.collapse_factor
            self.collapsed_steps += 1
        return seconds

    def _emit(self):
        for sequence in self._batch:
            before = sequence.produced
            sequence.produced = min(
                sequence.tokens, before + self.profile.tokens_per_step
            )
            numbers = range(before + 1, sequence.produced + 1)
            sequence.out.put("".join(f"t{number} " for number in numbers))
            if sequence.produced >= sequence.tokens:
                sequence.out.put(None)
        self._batch = [s for s in self._batch if s.produced < s.tokens]


class EngineApp:
    """The engine's HTTP interface."""

    def __init__(self, engine, journal=None):
        self.engine = engine
        self.journal = journal or Journal()
        self.seen: list[str] = []
        self.times: list[float] = []

    @cherrypy.expose
    def metrics(self):
        """Serve the load report."""
        cherrypy.response.headers["Content-Type"] = "text/plain"
        return self.engine.gauges.render(METRIC_BY_GAUGE)

    @cherrypy.expose
    def ledger(self):
        """Serve what the engine has seen and spent."""
        cherrypy.response.headers["Content-Type"] = "application/json"
        return orjson.dumps(
            {
                "requests": self.seen,
                "times": self.times,
                "prefilled": self.engine.prefilled,
                "cached": self.engine.cached,
                "peak": self.engine.peak,
                "collapsed_steps": self.engine.collapsed_steps,
                "abandoned_tokens": self.engine.abandoned_tokens,
                "processor_seconds": time.process_time(),
            }
        )

    @cherrypy.expose
    def default(self, *parts, **query):
        """Serve completions."""
        http = cherrypy.request
        self.seen.append(http.headers.get("X-Request-Id", ""))
        self.times.append(time.time())
        length = int(http.headers.get("Content-Length") or 0)
        document = orjson.loads(http.rfile.read(length))
        self.journal.write(request_id=self.seen[-1], path=http.path_info)
        if POISON in orjson.dumps(document):
            os._exit(EXIT_POISONED)
        prompt = document.get("prompt") or orjson.dumps(document["messages"]).decode()
        sequence = Sequence(prompt, int(document.get("max_tokens") or 256))
        self.engine.submit(sequence)
        if not document.get("stream"):
            return self._whole(sequence)
        cherrypy.response.stream = True
        cherrypy.response.headers["Content-Type"] = "text/event-stream"
        return self._stream(sequence)

    def _whole(self, sequence):
        text = "".join(
            iter(lambda: sequence.out.get(timeout=STREAM_TIMEOUT_SECONDS), None)
        )
        cherrypy.response.headers["Content-Type"] = "application/json"
        message = {"role": "assistant", "content": text}
        return orjson.dumps(
            {
                "object": "chat.completion",
                "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
                "usage": _usage(sequence),
            }
        )

    def _stream(self, sequence):
        try:
            while True:
                token = sequence.out.get(timeout=STREAM_TIMEOUT_SECONDS)
                if token is None:
                    break
                delta = {"choices": [{"index": 0, "delta": {"content": token}}]}
                yield b"data: " + orjson.dumps(delta) + b"\n\n"
            end = {"choices": [], "usage": _usage(sequence)}
            yield b"data: " + orjson.dumps(end) + b"\n\ndata: [DONE]\n\n"
        finally:
            sequence.cancelled = True


def _usage(sequence):
    return {
        "prompt_tokens": sequence.prompt_tokens,
        "completion_tokens": sequence.produced,
        "total_tokens": sequence.prompt_tokens + sequence.produced,
        "prompt_tokens_details": {"cached_tokens": sequence.cached},
    }
