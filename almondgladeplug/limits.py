"""Limit policies: how many requests one target may run at once."""

from almondglade.coordinator.limits import LimitPolicy
from almondglade.coordinator.pace import PaceCurve, PaceWindow
from almondglade.messages import Result

FAILURES = (Result.BROKEN, Result.REFUSED, Result.TIMED_OUT)
MAX_WINDOW_RUNS = 9
# A run counts only if at least this part of its duration lies in the window, that
# is, after the last change of the limit.
MIN_SHARE_IN_WINDOW = 0.7
MIN_WINDOW_SECONDS = 0.25
# The limit grows only while at least this part of it is in use.
BUSY_UTILISATION = 0.75
# Relative step up while no concurrency that is too high has been found.
GROWTH_SHARE = 0.34
# Relative step once such a concurrency is known; steps up and down alternate.
PROBE_SHARE = 0.125
# Another concurrency replaces the present one only if its power (throughput
# weighed against delay) is higher by this factor, while ramping up and after.
RAMP_UP_MARGIN = 1.1
SETTLED_MARGIN = 1.02
# A window whose pace is worse by this factor than the one recorded for the same
# concurrency means that the target has become slower.
SLOWDOWN_RATIO = 1.7
# So many consecutive runs that took longer than expected by this factor mean that
# the target's throughput has collapsed.
COLLAPSE_RATIO = 4.0
MIN_COLLAPSED_RUNS = 2
# A concurrency is kept for this long before the next probe; the time doubles, up to
# the maximum, each time the same concurrency is found best again.
MIN_HOLD_SECONDS = 3.0
MAX_HOLD_SECONDS = 32.0


class AdaptiveLimit(LimitPolicy):
    """Finds the knee of a target's throughput curve from its completed runs.

    The limit starts at one. Each window of runs at one limit yields the pace
    (seconds per token) at that concurrency. The limit is set to the measured
    concurrency with the highest power, or one step above it while that is the
    highest concurrency measured so far.
    """

    name = "adaptive"

    def __init__(self, target, maximum, clock):
        super().__init__(target, maximum, clock)
        self._curve = PaceCurve()
        self._window = PaceWindow(clock())
        self._slow_runs = 0
        self._hold_seconds = MIN_HOLD_SECONDS
        self._held_until = 0.0
        self._settled_concurrency = 0
        self._probing_up = True
        self._grown_from = 0
        self._state_before_suspension: tuple[float, PaceCurve, int] | None = None

    def suspend(self):
        """Use the cold limit until a load report shows that the process is the same.

        Without a known epoch nothing is kept, as the reports could not be compared.
        """
        state = (
            (self.limit, self._curve, self._settled_concurrency) if self.epoch else None
        )
        self.reset_to_cold()
        self._state_before_suspension = state

    def observe_epoch(self, epoch):
        """Restore the state before `suspend`, or reset it if the target restarted.

        Returns
        -------
        bool
            True if the target's process has restarted.
        """
        state = self._state_before_suspension
        restarted = super().observe_epoch(epoch)
        if state is not None and not restarted:
            self.limit, self._curve, self._settled_concurrency = state
            self._window = PaceWindow(self.clock())
        self._state_before_suspension = None
        return restarted

    def reset_to_cold(self):
        """Return to the limit of a cold target and discard the measured paces."""
        super().reset_to_cold()
        self._state_before_suspension = None
        self._curve = PaceCurve()
        self._slow_runs = 0
        self._hold_seconds = MIN_HOLD_SECONDS
        self._held_until = self.clock() + self.warm_up
        self._settled_concurrency = 0
        self._probing_up = True
        self._grown_from = 0
        self._window = PaceWindow(self.clock())

    def pace(self, running):
        """Return the expected seconds per token at a concurrency."""
        return self._curve.pace(running) or self.baseline

    def complete(self, completion, running):
        """Adjust the limit to the result of one run."""
        if completion.result in FAILURES:
            self.reset_to_cold()
            return
        if completion.result is not Result.COMPLETED or completion.duration <= 0:
            return
        if self._has_collapsed(completion, running):
            self.reset_to_cold()
            return
        if (
            self.clock() - self._window.opened_at
            < MIN_SHARE_IN_WINDOW * completion.duration
        ):
            return
        self._window.add(completion, running)
        if self._is_window_full():
            self._close_window()

    def _has_collapsed(self, completion, running):
        expected = self._curve.expected_seconds(completion, running)
        if expected == 0 or completion.duration <= COLLAPSE_RATIO * expected:
            self._slow_runs = 0
            return False
        self._slow_runs += 1
        return self._slow_runs >= MIN_COLLAPSED_RUNS

    def _is_window_full(self):
        runs = min(MAX_WINDOW_RUNS, self.current + 1)
        elapsed = self.clock() - self._window.opened_at
        return len(self._window) >= runs and elapsed >= MIN_WINDOW_SECONDS

    def _close_window(self):
        window, self._window = self._window, PaceWindow(self.clock())
        ratio = self._curve.record(window)
        self.baseline = min(
            pace.seconds_per_token for pace in self._curve.by_concurrency.values()
        )
        if ratio > SLOWDOWN_RATIO:
            self._curve = PaceCurve()
            self._settled_concurrency = 0
            self._set_limit(self.current // 2)
            return
        self._adjust(
            window.concurrency, window.mean_running >= BUSY_UTILISATION * self.limit
        )

    def _adjust(self, concurrency, busy):
        margin = SETTLED_MARGIN if self._settled_concurrency else RAMP_UP_MARGIN
        best = self._curve.best_concurrency(concurrency, self.token_gap, margin)
        if best != concurrency and (
            busy or self._curve.misses(concurrency, self.token_gap)
        ):
            self._settle(best)
        elif not busy:
            self._withdraw_growth()
        elif self.clock() >= self._held_until:
            self._probe(concurrency)

    def _withdraw_growth(self):
        """Shrink to one above the last busy concurrency when the load has dropped.

        The higher limit has not been measured under load. If it were kept, a later
        burst would be the first test of all of it at once.
        """
        if self._grown_from and self.limit > self._grown_from + 1:
            self._set_limit(self._grown_from + 1)

    def _settle(self, concurrency):
        self._grown_from = 0
        repeated = self._settled_concurrency == concurrency
        self._hold_seconds = min(
            self._hold_seconds * 2 if repeated else MIN_HOLD_SECONDS, MAX_HOLD_SECONDS
        )
        self._settled_concurrency = concurrency
        self._held_until = self.clock() + self._hold_seconds
        self._set_limit(concurrency)

    def _probe(self, concurrency):
        self._grown_from = concurrency
        if not self._settled_concurrency:
            self._set_limit(
                max(self.current, concurrency + max(1, int(concurrency * GROWTH_SHARE)))
            )
            return
        self._probing_up = not self._probing_up
        step = max(1, int(concurrency * PROBE_SHARE))
        probed = max(1, concurrency + step if self._probing_up else concurrency - step)
        self._curve.forget(probed)
        self._set_limit(probed)

    def _set_limit(self, concurrency):
        self.limit = float(max(1, min(concurrency, self.maximum)))


class FixedLimit(LimitPolicy):
    """Always allows the declared maximum; a baseline for comparisons."""

    name = "fixed"

    def __init__(self, target, maximum, clock):
        super().__init__(target, maximum, clock)
        self.limit = float(maximum)

    def reset_to_cold(self):
        """Do nothing; the limit is always the declared maximum."""

    def complete(self, completion, running):
        """Do nothing; the limit does not depend on the runs."""
