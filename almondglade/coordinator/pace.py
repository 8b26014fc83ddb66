"""Measure a target's pace (seconds per token) by concurrency from completed runs."""

from dataclasses import dataclass, field

import numpy as np

# Exponent k in the power n / pace**k of n concurrent requests. It is above 1, so that
# a higher concurrency, with its longer delay, is chosen only while it adds throughput.
POWER_EXPONENT = 1.2
# Weight of the newest window in exponential averages.
WINDOW_WEIGHT = 0.4
MIN_RUNS_OF_SLOPE = 3
# No slope is fitted to sizes whose standard deviation is below this fraction of their
# mean.
MIN_SPREAD = 0.3
MIN_PACE_SECONDS = 1e-6


def slope(sizes, seconds):
    """Return the regression slope of seconds over sizes, at least 0.

    An engine emits several tokens per step, so that the time of a run is not
    proportional to its length; the regression's constant term absorbs the difference.
    For fewer than `MIN_RUNS_OF_SLOPE` runs, or sizes that hardly vary, the ratio of the
    means is returned.

    Parameters
    ----------
    sizes : sequence of int, shape (runs,)
        Tokens of each run.
    seconds : sequence of float, shape (runs,)
        Time of each run.

    Returns
    -------
    float
        Seconds per token.
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
    """Measurements of the runs that completed at one concurrency limit.

    Parameters
    ----------
    opened_at : float
        Clock reading at which the window started.
    concurrencies : list of int
        Requests in progress when each run ended.
    output_tokens : list of int
        Output tokens of each run, at least 1.
    prompt_tokens : list of int
        Uncached prompt tokens of each run.
    first_token_seconds : list of float
        Seconds from dispatch to the first token.
    decode_seconds : list of float
        Seconds from the first token to the end.
    """

    opened_at: float
    concurrencies: list[int] = field(default_factory=list)
    output_tokens: list[int] = field(default_factory=list)
    prompt_tokens: list[int] = field(default_factory=list)
    first_token_seconds: list[float] = field(default_factory=list)
    decode_seconds: list[float] = field(default_factory=list)

    def add(self, completion, running):
        """Add one run."""
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
        """Mean concurrency, weighted by output tokens."""
        return float(np.average(self.concurrencies, weights=self.output_tokens))

    @property
    def concurrency(self):
        """Mean concurrency rounded to a whole number, at least 1."""
        return max(1, round(self.mean_running))


@dataclass
class Pace:
    """Pace at one concurrency.

    Parameters
    ----------
    seconds_per_token : float
        Seconds per output token over a whole run, time to first token included.
    token_gap : float
        Seconds between output tokens.
    """

    seconds_per_token: float
    token_gap: float

    def blend(self, newer):
        """Update the exponential average with a newer pace."""
        self.seconds_per_token += WINDOW_WEIGHT * (
            newer.seconds_per_token - self.seconds_per_token
        )
        self.token_gap += WINDOW_WEIGHT * (newer.token_gap - self.token_gap)


class PaceCurve:
    """Pace of a target by concurrency.

    The time to the first token, less the time to process the uncached prompt tokens, is
    divided by the mean length of the target's runs. So a longer request or prompt does
    not make the target appear slower.

    Attributes
    ----------
    by_concurrency : dict of int to Pace
        Pace by measured concurrency.
    mean_output_tokens : float
        Average length of the runs, tokens.
    prompt_pace : float
        Seconds per uncached prompt token.
    max_first_token_seconds : float
        Longest mean time to the first token of a window, without prompt processing.
    """

    def __init__(self):
        self.by_concurrency: dict[int, Pace] = {}
        self.mean_output_tokens = 0.0
        self.prompt_pace = 0.0
        self.max_first_token_seconds = 0.0

    def record(self, window):
        """Add a window and return the ratio of its pace to the previous pace.

        Returns
        -------
        float
            Above 1 if the target has become slower; 1 at a new concurrency.
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
        known = self.mean_output_tokens or mean
        self.mean_output_tokens = known + WINDOW_WEIGHT / 4 * (mean - known)
        if np.std(window.prompt_tokens) > MIN_SPREAD * np.mean(window.prompt_tokens):
            prompt_pace = slope(window.prompt_tokens, window.first_token_seconds)
            self.prompt_pace += WINDOW_WEIGHT * (prompt_pace - self.prompt_pace)
        first_token_seconds = [
            max(0.0, first_token - self.prompt_pace * prompt)
            for first_token, prompt in zip(
                window.first_token_seconds, window.prompt_tokens, strict=True
            )
        ]
        first_token = float(np.mean(first_token_seconds))
        self.max_first_token_seconds = max(self.max_first_token_seconds, first_token)
        gap = slope(window.output_tokens, window.decode_seconds)
        return Pace(
            max(MIN_PACE_SECONDS, gap + first_token / self.mean_output_tokens), gap
        )

    def pace(self, concurrency):
        """Return the pace at the nearest measured concurrency; 0 if there is none."""
        if not self.by_concurrency:
            return 0.0
        nearest = min(
            self.by_concurrency, key=lambda known: (abs(known - concurrency), known)
        )
        return self.by_concurrency[nearest].seconds_per_token

    def expected_seconds(self, completion, running):
        """Return the expected seconds of a run; 0 if no pace is known."""
        prompt = max(0, completion.input_tokens - completion.cached_tokens)
        pace = self.pace(running)
        if pace == 0:
            return 0.0
        tokens = max(1, completion.output_tokens)
        return self.max_first_token_seconds + self.prompt_pace * prompt + pace * tokens

    def best_concurrency(self, concurrency, token_gap, margin):
        """Return the measured concurrency of highest power that meets the token gap.

        Parameters
        ----------
        concurrency : int
            Present concurrency, kept unless the power of another is higher by the
            margin.
        token_gap : float or None
            Goal for the seconds between tokens.
        margin : float
            Minimum ratio of the power of another concurrency to that of the present.

        Returns
        -------
        int
            The best concurrency. If none meets the goal, one below the lowest measured
            concurrency, at least 1.
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
        """Return whether a measured concurrency exceeds the goal for the token gap."""
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
        """Discard the pace at one concurrency, so that it is measured again."""
        self.by_concurrency.pop(concurrency, None)
