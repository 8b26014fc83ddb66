"""Decide how many requests an instance accepts by what its own machine bears.

Answers a load in which the balancer gives a small machine as many callers as a large
one beside it: several times what its processor or link bears, so that each request
would wait for threads and timers instead of targets.
"""

import math
from collections import deque
from dataclasses import dataclass

# Delay of timers and threads that callers bear: the shortest objectives of routes are a
# few times as long, and a request waits for both.
TOLERATED_DELAY_SECONDS = 0.1
# The decision is made once in this time. A delay counts only if no shorter one was
# measured within it, so that bursts do not.
INTERVAL_SECONDS = 1.0
# Fewer measurements than this in an interval show nothing.
MIN_SAMPLES = 4
MAX_SAMPLES = 1000
# Share of the link that may be in use; at more, its queues grow.
LINK_SHARE = 0.9
# Change of the accepted rate in each interval, over the limits and within them: TCP's
# way of finding a capacity that nobody tells, with the backoff between its usual ones.
DECREASE_FACTOR = 0.75
INCREASE_FACTOR = 1.1
# Lowest accepted rate, in requests per second, so that recovery is noticed.
MIN_RATE = 2.0
# Requests that may come at once, in seconds of the accepted rate.
BURST_SECONDS = 0.25
# The limit ends when the accepted rate exceeds what is asked for by this factor.
FREE_FACTOR = 1.5
# An instance stops being ready after this many seconds over its limits or with refusals
# by them, and is ready again after so many without.
UNREADY_AFTER_SECONDS = 2.0
READY_AFTER_SECONDS = 3.0
# Retry-After of a refusal: the next decisions have been made by then.
RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True)
class Machine:
    """What the settings declare of the machine of an instance.

    Parameters
    ----------
    link_bytes : float
        Bytes per second that its link carries in each direction.
    """

    link_bytes: float = math.inf


def can_be_spared(capacity, peer_capacities):
    """Return whether an instance may stop being ready for its own load.

    The better half of a data centre's instances never may, so that the others have
    somewhere to send their callers. All see the same order without a message.

    Parameters
    ----------
    capacity : float
        Relative capacity of the instance.
    peer_capacities : list of float
        Those of the live instances beside it in its data centre.
    """
    better = sum(each > capacity for each in peer_capacities)
    return 2 * better >= 1 + len(peer_capacities)


class OwnLimits:
    """Limits the rate of accepted requests by measurements of this instance.

    Methods are safe from any thread without a lock: a lost update of a count changes a
    decision by one request.

    Parameters
    ----------
    machine : Machine
        What is declared.
    now : float
        Monotonic seconds.

    Attributes
    ----------
    rate : float
        Accepted requests per second; infinite without a limit.
    delay : float
        Seconds by which all timers or all threads of the last interval were late.
    link_use : float
        Share of the link that was used in the last interval.
    decided_at : float
        When it was decided last.
    strained : bool
        Whether the last interval was over the limits, or requests were refused in it.
    resting : bool
        Whether the instance should stop being ready, if it can be spared.
    """

    def __init__(self, machine, now):
        self.machine = machine
        self.rate = math.inf
        self.delay = 0.0
        self.link_use = 0.0
        self.strained = False
        self.resting = False
        self.decided_at = now
        self._changed_at = now
        self._timer_delays: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._thread_delays: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._bytes = 0
        self._accepted = 0
        self._asked = 0
        self._tokens = 0.0
        self._refilled_at = now

    def record_timer(self, seconds):
        """Record how late a timer of the event loop fired."""
        self._timer_delays.append(seconds)

    def record_thread(self, seconds):
        """Record how long an arrived request waited for a thread."""
        self._thread_delays.append(seconds)

    def record_bytes(self, count):
        """Record bytes that pass the link in each direction."""
        self._bytes += count

    def admit(self, now, is_urgent=False):
        """Count a request and return whether it may be accepted.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        is_urgent : bool
            Whether it is accepted in any case, as one that continues a stream.
        """
        self._asked += 1
        if not math.isinf(self.rate):
            self._refill(now)
            if self._tokens < 1.0 and not is_urgent:
                return False
            self._tokens -= 1.0
        self._accepted += 1
        return True

    def decide(self, now):
        """Decide anew if an interval has passed; return whether the limit changed.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        seconds = now - self.decided_at
        if seconds < INTERVAL_SECONDS:
            return False
        self.delay = max(_standing(self._timer_delays), _standing(self._thread_delays))
        self.link_use = self._bytes / seconds / self.machine.link_bytes
        accepted, asked = self._accepted / seconds, self._asked / seconds
        self.decided_at = now
        self._bytes = self._accepted = self._asked = 0
        overloaded = self.delay > TOLERATED_DELAY_SECONDS or self.link_use > LINK_SHARE
        strained = overloaded or accepted < asked
        if strained != self.strained:
            self.strained, self._changed_at = strained, now
        former = self.rate
        if overloaded:
            self._refill(now)
            factor = min(DECREASE_FACTOR, LINK_SHARE / max(self.link_use, LINK_SHARE))
            self.rate = max(MIN_RATE, factor * min(self.rate, accepted))
            self._tokens = min(self._tokens, BURST_SECONDS * self.rate)
        else:
            self.rate *= INCREASE_FACTOR
            if self.rate > FREE_FACTOR * max(asked, MIN_RATE):
                self.rate = math.inf
        self._rest(now)
        return self.rate != former

    def _rest(self, now):
        """Decide with hysteresis whether to stop being ready."""
        lasts = now - self._changed_at
        if self.strained and lasts >= UNREADY_AFTER_SECONDS - INTERVAL_SECONDS:
            self.resting = True
        elif not self.strained and lasts >= READY_AFTER_SECONDS:
            self.resting = False

    def _refill(self, now):
        if math.isinf(self.rate):
            self._tokens = 0.0
        else:
            most = max(1.0, BURST_SECONDS * self.rate)
            earned = (now - self._refilled_at) * self.rate
            self._tokens = min(most, self._tokens + earned)
        self._refilled_at = now


def _standing(delays):
    """Remove some delays; return the shortest, or 0 if they are too few."""
    taken = [delays.popleft() for _ in range(len(delays))]
    return min(taken) if len(taken) >= MIN_SAMPLES else 0.0
