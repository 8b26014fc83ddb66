"""A tiny engine in model time, for tests of the decisions."""

from dataclasses import dataclass, field

from almondglade.messages import Completion, Result

TOKENS_PER_STEP = 16


class FakeClock:
    """A clock that moves when told to."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        """Return the model's time in seconds."""
        return self.now


@dataclass
class ModelRun:
    """One generation; times on the model's clock."""

    tokens: int
    began: float
    demand: object = None
    produced: int = 0
    first: float = 0.0


@dataclass
class ModelEngine:
    """Runs a batch step by step; steps lengthen beyond the knee."""

    clock: FakeClock
    knee: int = 8
    step: float = 0.05
    slow: float = 1.0
    batch: list = field(default_factory=list)
    ends_at: float = 0.0
    peak: int = 0
    work_done: int = 0

    def submit(self, run):
        """Add a run to the batch."""
        self.batch.append(run)
        self.peak = max(self.peak, len(self.batch))
        if len(self.batch) == 1:
            self.ends_at = self.clock() + self.step_seconds()

    def step_seconds(self):
        """Return the length of the next step."""
        running = len(self.batch)
        seconds = self.step + 0.04 * self.step * (running - 1)
        return seconds * max(1.0, running / self.knee) ** 2 * self.slow

    @property
    def capacity(self):
        """Tokens a second at the knee."""
        step = self.step + 0.04 * self.step * (self.knee - 1)
        return self.knee * TOKENS_PER_STEP / step

    def advance(self):
        """End the step that is due now and return the runs that ended."""
        for run in self.batch:
            run.first = run.first or self.clock() - run.began
            run.produced += TOKENS_PER_STEP
        ended = [run for run in self.batch if run.produced >= run.tokens]
        self.batch = [run for run in self.batch if run.produced < run.tokens]
        self.work_done += sum(run.tokens for run in ended)
        self.ends_at = self.clock() + self.step_seconds()
        return ended


def completion_of(run, clock, request_id=""):
    """Return what an entry reports of a run that ended now."""
    return Completion(
        request_id,
        "drafts",
        Result.COMPLETED,
        input_tokens=100,
        cached_tokens=100,
        output_tokens=run.tokens,
        first_token=run.first,
        duration=clock() - run.began,
    )


def drive(engine, limit, rng, seconds):
    """Keep an engine filled up to its limit and yield it at each end of a run."""
    clock = engine.clock
    until = clock.now + seconds
    while clock.now < until:
        while len(engine.batch) < limit.current:
            tokens = int(8 * 100 ** rng.uniform())
            engine.submit(ModelRun(tokens, clock()))
        clock.now = engine.ends_at
        running = len(engine.batch)
        for run in engine.advance():
            limit.complete(completion_of(run, clock), running)
            running -= 1
            yield engine
