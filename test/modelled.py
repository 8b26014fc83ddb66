"""A small engine in simulated time, for tests of the scheduling decisions."""

from dataclasses import dataclass, field

from almondglade.messages import Completion, Result

TOKENS_PER_STEP = 16


class FakeClock:
    """A clock that moves only when a test sets it."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        """Return the simulated time in seconds."""
        return self.now


@dataclass
class SimulatedRun:
    """One generation; times are readings of the simulated clock, in seconds.

    Parameters
    ----------
    tokens : int
        Output tokens to generate.
    started_at : float
        Time at which the run was submitted.
    produced_tokens : int
        Output tokens generated so far.
    first_token_seconds : float
        Time from submission to the first token; 0 before it.
    """

    tokens: int
    started_at: float
    demand: object = None
    produced_tokens: int = 0
    first_token_seconds: float = 0.0


@dataclass
class SimulatedEngine:
    """Runs a batch step by step; steps lengthen beyond the knee.

    Parameters
    ----------
    knee : int
        Batch size from which throughput falls.
    base_step_seconds : float
        Length of a step with a batch of one.
    slowdown : float
        Factor on the length of every step.
    step_ends_at : float
        Clock reading at which the current step ends.
    peak_batch_size : int
        Largest batch so far.
    completed_tokens : int
        Output tokens of the runs that have ended.
    """

    clock: FakeClock
    knee: int = 8
    base_step_seconds: float = 0.05
    slowdown: float = 1.0
    batch: list = field(default_factory=list)
    step_ends_at: float = 0.0
    peak_batch_size: int = 0
    completed_tokens: int = 0

    def submit(self, run):
        """Add a run to the batch."""
        self.batch.append(run)
        self.peak_batch_size = max(self.peak_batch_size, len(self.batch))
        if len(self.batch) == 1:
            self.step_ends_at = self.clock() + self.step_seconds()

    def step_seconds(self):
        """Return the length of the next step."""
        running = len(self.batch)
        seconds = self.base_step_seconds + 0.04 * self.base_step_seconds * (running - 1)
        return seconds * max(1.0, running / self.knee) ** 2 * self.slowdown

    @property
    def capacity(self):
        """Tokens per second at the knee."""
        step = self.base_step_seconds + 0.04 * self.base_step_seconds * (self.knee - 1)
        return self.knee * TOKENS_PER_STEP / step

    def advance(self):
        """End the step that is due now and return the runs that ended."""
        for run in self.batch:
            run.first_token_seconds = (
                run.first_token_seconds or self.clock() - run.started_at
            )
            run.produced_tokens += TOKENS_PER_STEP
        ended = [run for run in self.batch if run.produced_tokens >= run.tokens]
        self.batch = [run for run in self.batch if run.produced_tokens < run.tokens]
        self.completed_tokens += sum(run.tokens for run in ended)
        self.step_ends_at = self.clock() + self.step_seconds()
        return ended


def completion_of(run, clock, request_id=""):
    """Return the completion that an entry reports of a run that ended now."""
    return Completion(
        request_id,
        "drafts",
        Result.COMPLETED,
        input_tokens=100,
        cached_tokens=100,
        output_tokens=run.tokens,
        first_token=run.first_token_seconds,
        duration=clock() - run.started_at,
    )


def drive(engine, limit, rng, seconds):
    """Keep an engine filled up to its limit and yield it after each completed run."""
    clock = engine.clock
    until = clock.now + seconds
    while clock.now < until:
        while len(engine.batch) < limit.current:
            tokens = int(8 * 100 ** rng.uniform())
            engine.submit(SimulatedRun(tokens, clock()))
        clock.now = engine.step_ends_at
        running = len(engine.batch)
        for run in engine.advance():
            limit.complete(completion_of(run, clock), running)
            running -= 1
            yield engine
