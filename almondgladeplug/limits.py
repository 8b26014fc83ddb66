"""Concurrency limits."""

from almondglade.coordinator.limits import LimitPolicy
from almondglade.coordinator.pace import PaceCurve, PaceWindow
from almondglade.messages import Result

FAILURES = (Result.BROKEN, Result.REFUSED, Result.TIMED_OUT)
MAX_WINDOW_RUNS = 9
# Part of a run that must lie after the last change of the limit to count.
CLEAN_SHARE = 0.7
MIN_WINDOW_SECONDS = 0.25
# A limit grows only while at least this part of it is used.
BUSY_SHARE = 0.75
GROWTH_SHARE = 0.34
# Steps up and down in turn once a concurrency has been found that was too high.
PROBE_SHARE = 0.125
# Another concurrency is better only if its power is this much higher.
RAMP_MARGIN = 1.1
SETTLED_MARGIN = 1.02
# A window this much slower than the same concurrency was before.
SLOWDOWN = 1.7
# Runs in a row this much slower than expected show that the target collapsed.
COLLAPSE = 4.0
COLLAPSED_RUNS = 2
MIN_HOLD_SECONDS = 3.0
MAX_HOLD_SECONDS = 32.0


class AdaptiveLimit(LimitPolicy):
    """Find the knee of a target's throughput by its own completed work.

    The limit starts at one. Each window of runs at one limit gives the pace at
    its concurrency; the limit goes to the known concurrency of most power, or
    one step above while that is the highest.
    """

    name = "adaptive"

    def __init__(self, target, maximum, clock):
        super().__init__(target, maximum, clock)
        self._curve = PaceCurve()
        self._window = PaceWindow(clock())
        self._slow_runs = 0
        self._hold_seconds = MIN_HOLD_SECONDS
        self._held_until = 0.0
        self._settled = 0
        self._probing_up = True
        self._grown_from = 0
        self._rested: tuple[float, PaceCurve, int] | None = None

    def suspend(self):
        """Become cold until a report shows that the process is the same."""
        rested = (self.limit, self._curve, self._settled) if self.epoch else None
        self.reset_to_cold()
        self._rested = rested

    def observe_epoch(self, epoch):
        """Go on from before a rest, or become cold after a restart."""
        rested = self._rested
        restarted = super().observe_epoch(epoch)
        if rested is not None and not restarted:
            self.limit, self._curve, self._settled = rested
            self._window = PaceWindow(self.clock())
        self._rested = None
        return restarted

    def reset_to_cold(self):
        """Fall back to the limit of a cold target and forget its speed."""
        super().reset_to_cold()
        self._rested = None
        self._curve = PaceCurve()
        self._slow_runs = 0
        self._hold_seconds = MIN_HOLD_SECONDS
        self._held_until = self.clock() + self.warm_up
        self._settled = 0
        self._probing_up = True
        self._grown_from = 0
        self._window = PaceWindow(self.clock())

    def pace(self, running):
        """Return the expected seconds per token at a concurrency."""
        return self._curve.pace(running) or self.baseline

    def complete(self, completion, running):
        """Adjust the limit to one run."""
        if completion.result in FAILURES:
            self.reset_to_cold()
            return
        if completion.result is not Result.COMPLETED or completion.duration <= 0:
            return
        if self._has_collapsed(completion, running):
            self.reset_to_cold()
            return
        if self.clock() - self._window.opened < CLEAN_SHARE * completion.duration:
            return
        self._window.add(completion, running)
        if self._is_window_full():
            self._close_window()

    def _has_collapsed(self, completion, running):
        expected = self._curve.expected_seconds(completion, running)
        if expected == 0 or completion.duration <= COLLAPSE * expected:
            self._slow_runs = 0
            return False
        self._slow_runs += 1
        return self._slow_runs >= COLLAPSED_RUNS

    def _is_window_full(self):
        runs = min(MAX_WINDOW_RUNS, self.current + 1)
        elapsed = self.clock() - self._window.opened
        return len(self._window) >= runs and elapsed >= MIN_WINDOW_SECONDS

    def _close_window(self):
        window, self._window = self._window, PaceWindow(self.clock())
        ratio = self._curve.record(window)
        self.baseline = min(
            pace.seconds_per_token for pace in self._curve.by_concurrency.values()
        )
        if ratio > SLOWDOWN:
            self._curve = PaceCurve()
            self._settled = 0
            self._set(self.current // 2)
            return
        self._adjust(window.concurrency, window.mean_running >= BUSY_SHARE * self.limit)

    def _adjust(self, level, busy):
        margin = SETTLED_MARGIN if self._settled else RAMP_MARGIN
        best = self._curve.best_concurrency(level, self.token_gap, margin)
        if best != level and (busy or self._curve.misses(level, self.token_gap)):
            self._settle(best)
        elif not busy:
            self._withdraw_growth()
        elif self.clock() >= self._held_until:
            self._probe(level)

    def _withdraw_growth(self):
        """Keep one step of a growth that the load did not last to prove.

        Else a later burst would be the first to try the whole of it.
        """
        if self._grown_from and self.limit > self._grown_from + 1:
            self._set(self._grown_from + 1)

    def _settle(self, level):
        self._grown_from = 0
        repeated = self._settled == level
        self._hold_seconds = min(
            self._hold_seconds * 2 if repeated else MIN_HOLD_SECONDS, MAX_HOLD_SECONDS
        )
        self._settled = level
        self._held_until = self.clock() + self._hold_seconds
        self._set(level)

    def _probe(self, level):
        self._grown_from = level
        if not self._settled:
            self._set(max(self.current, level + max(1, int(level * GROWTH_SHARE))))
            return
        self._probing_up = not self._probing_up
        step = max(1, int(level * PROBE_SHARE))
        tried = max(1, level + step if self._probing_up else level - step)
        self._curve.forget(tried)
        self._set(tried)

    def _set(self, level):
        self.limit = float(max(1, min(level, self.maximum)))


class FixedLimit(LimitPolicy):
    """Allow the declared maximum at all times: a baseline."""

    name = "fixed"

    def __init__(self, target, maximum, clock):
        super().__init__(target, maximum, clock)
        self.limit = float(maximum)

    def reset_to_cold(self):
        """Keep the declared maximum."""

    def complete(self, completion, running):
        """Learn nothing."""
