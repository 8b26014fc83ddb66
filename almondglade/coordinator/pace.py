"""What a target's completed work says of its speed at each concurrency."""

from dataclasses import dataclass, field

import numpy as np

# Exponent of the pace in the power n / pace**k: above 1, so that more
# concurrency is worth its delay only while it adds throughput.
POWER_EXPONENT = 1.2
SMOOTHING = 0.4
MIN_RUNS_OF_SLOPE = 3
# Sizes that vary by less than this part of their mean give no slope.
MIN_SPREAD = 0.3
MIN_PACE_SECONDS = 1e-6


def slope(sizes, seconds):
    """Return seconds per unit of size, apart from a constant for each run.

    An engine emits several tokens in a step, so that the time of a run is not
    proportional to its length; the constant takes up the difference. When the
    sizes hardly vary, the plain ratio is returned.
    """
    sizes, seconds = np.asarray(sizes, float), np.asarray(seconds, float)
    mean = sizes.mean()
    ratio = float(seconds.mean() / mean) if mean > 0 else 0.0
    spread = sizes - mean
    if len(sizes) < MIN_RUNS_OF_SLOPE or sizes.std() < MIN_SPREAD * mean:
        return ratio
    return max(0.0, float(spread @ seconds / (spread @ spread)))


@dataclass
class PaceWindow:
    """The runs that began and ended at one limit."""

    opened: float
    concurrencies: list[int] = field(default_factory=list)
    output_tokens: list[int] = field(default_factory=list)
    prompt_tokens: list[int] = field(default_factory=list)
    first_token_seconds: list[float] = field(default_factory=list)
    decode_seconds: list[float] = field(default_factory=list)

    def add(self, completion, running):
        """Count one run."""
        self.concurrencies.append(running)
        self.output_tokens.append(max(1, completion.output_tokens))
        self.prompt_tokens.append(
            max(0, completion.input_tokens - completion.cached_tokens)
        )
        self.first_token_seconds.append(completion.first_token)
        self.decode_seconds.append(
            max(0.0, completion.duration - completion.first_token)
        )

    def __len__(self):
        return len(self.output_tokens)

    @property
    def mean_running(self):
        """Mean concurrency."""
        return float(np.average(self.concurrencies, weights=self.output_tokens))

    @property
    def concurrency(self):
        """Mean concurrency as a whole number."""
        return max(1, round(self.mean_running))


@dataclass
class Pace:
    """Seconds per token of a whole run, and between its tokens."""

    seconds_per_token: float
    token_gap: float

    def blend(self, newer):
        """Move towards a newer pace."""
        self.seconds_per_token += SMOOTHING * (
            newer.seconds_per_token - self.seconds_per_token
        )
        self.token_gap += SMOOTHING * (newer.token_gap - self.token_gap)


class PaceCurve:
    """Pace of a target by concurrency.

    The time to the first token is spread over the mean length of the target's
    runs, after the computing of uncached prompt tokens has been taken out: a
    longer request or prompt is not a slower target.
    """

    def __init__(self):
        self.by_concurrency: dict[int, Pace] = {}
        self.mean_output = 0.0
        self.prompt_pace = 0.0
        self.first_token = 0.0

    def record(self, window):
        """Take in a window and return its pace against the one known before.

        Returns
        -------
        float
            Above 1 when the target has become slower; 1 at a new concurrency.
        """
        pace = self._pace_of(window)
        known = self.by_concurrency.get(window.concurrency)
        if known is None:
            self.by_concurrency[window.concurrency] = pace
            return 1.0
        ratio = pace.seconds_per_token / known.seconds_per_token
        known.blend(pace)
        return ratio

    def _pace_of(self, window):
        mean = float(np.mean(window.output_tokens))
        known = self.mean_output or mean
        self.mean_output = known + SMOOTHING / 4 * (mean - known)
        if np.std(window.prompt_tokens) > MIN_SPREAD * np.mean(window.prompt_tokens):
            prompt_pace = slope(window.prompt_tokens, window.first_token_seconds)
            self.prompt_pace += SMOOTHING * (prompt_pace - self.prompt_pace)
        firsts = [
            max(0.0, first - self.prompt_pace * prompt)
            for first, prompt in zip(
                window.first_token_seconds, window.prompt_tokens, strict=True
            )
        ]
        first = float(np.mean(firsts))
        self.first_token = max(self.first_token, first)
        gap = slope(window.output_tokens, window.decode_seconds)
        return Pace(max(MIN_PACE_SECONDS, gap + first / self.mean_output), gap)

    def pace(self, concurrency):
        """Return the pace at a concurrency by the nearest known one, or 0."""
        if not self.by_concurrency:
            return 0.0
        nearest = min(
            self.by_concurrency, key=lambda known: (abs(known - concurrency), known)
        )
        return self.by_concurrency[nearest].seconds_per_token

    def expected_seconds(self, completion, running):
        """Return how long a run should have taken, or 0 when nothing is known."""
        prompt = max(0, completion.input_tokens - completion.cached_tokens)
        pace = self.pace(running)
        if pace == 0:
            return 0.0
        tokens = max(1, completion.output_tokens)
        return self.first_token + self.prompt_pace * prompt + pace * tokens

    def best_concurrency(self, concurrency, token_gap, margin):
        """Return the known concurrency of most power within the gap's goal.

        Parameters
        ----------
        concurrency : int
            Present concurrency, kept unless another is clearly better.
        token_gap : float or None
            Goal for the seconds between tokens.
        margin : float
            Ratio of powers from which another is clearly better.
        """
        meeting = [n for n in self.by_concurrency if not self.misses(n, token_gap)]
        if not meeting:
            return max(1, min(self.by_concurrency) - 1)
        best = max(meeting, key=self._power)
        if concurrency in meeting and self._power(best) < margin * self._power(
            concurrency
        ):
            return concurrency
        return best

    def misses(self, concurrency, token_gap):
        """Tell whether a known concurrency misses the goal for the gap."""
        return (
            token_gap is not None
            and self.by_concurrency[concurrency].token_gap > token_gap
        )

    def _power(self, concurrency):
        return (
            concurrency
            / self.by_concurrency[concurrency].seconds_per_token ** POWER_EXPONENT
        )

    def forget(self, concurrency):
        """Drop one concurrency, so that it is measured anew."""
        self.by_concurrency.pop(concurrency, None)
