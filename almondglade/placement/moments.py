"""Track how fast targets are at this moment, and what they hold, by their own word.

Load pattern: targets share machines with others. One that is as fast as usual turns
several times slower for some 100 ms, and holds work that no instance has sent. The
mean over recent responses shows neither before it has passed.

A target's word is compared with its own mean, so that one that always says the same
is treated as if it said nothing.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

# Decay time of what a target said. A slow moment lasts for 100 to 300 ms, so that
# after 50 ms most of the word still holds and after 300 ms little of it.
DECAY_SECONDS = 0.2
# What a target said counts for nothing from this age on, three decay times.
EXPIRY_SECONDS = 0.6
# Time over which the mean of a target's word is taken; several slow moments.
MEAN_SECONDS = 4.0
# Durations relative to the usual one beyond which a target's word is not believed.
# Machines that are shared slow down a few times.
MIN_RELATIVE_DURATION = 0.1
MAX_RELATIVE_DURATION = 10.0
# Words in one report to a coordinator, and in a second, summed over coordinators. At
# about 40 bytes each they take 0.4 of the 2 KB/s that an instance may send.
MAX_SHARED_PER_REPORT = 8
MAX_SHARED_PER_SECOND = 20.0
# Shortest time between reports that tell words, as each coordinator gets its own.
MIN_SHARE_SECONDS = 0.05
# Older words are not worth sending.
MAX_SHARED_AGE_SECONDS = 0.3


@dataclass(frozen=True)
class TargetLoad:
    """What a target says of its load in a response.

    Parameters
    ----------
    running, waiting, slots : int
        Requests that it runs and that wait on it, from wherever they come, and the
        number that it can run.
    relative_duration : float or None
        How long work takes there now, relative to the usual time; None if it does
        not say.
    """

    running: int
    waiting: int
    slots: int
    relative_duration: float | None = None

    @property
    def is_plausible(self):
        """Whether the figures can be true."""
        return self.running <= self.slots > 0 and (
            self.relative_duration is None
            or MIN_RELATIVE_DURATION <= self.relative_duration <= MAX_RELATIVE_DURATION
        )

    @property
    def is_momentary(self):
        """Whether it says how long work takes now; without that it decides nothing."""
        return self.relative_duration is not None


@dataclass(frozen=True)
class SharedMoment:
    """What a target said to a peer.

    Parameters
    ----------
    target : str
    target_started_at : int
        Unix time of the target's start, milliseconds.
    load : TargetLoad
    age : float
        Seconds since it said so.
    """

    target: str
    target_started_at: int
    load: TargetLoad
    age: float


class Moment:
    """The last word of one target, since its start.

    Attributes
    ----------
    load : TargetLoad or None
        What it said last; None if nothing.
    said_at : float
        Monotonic time at which it did.
    """

    def __init__(self):
        self.load: TargetLoad | None = None
        self.said_at = -math.inf
        self._unknown_work = 0
        self._duration = 1.0
        self._mean_duration = 1.0

    def record(self, load, said_at, known_work):
        """Record what the target said, unless something newer is known.

        Parameters
        ----------
        load : TargetLoad
        said_at : float
            Monotonic time.
        known_work : int
            Requests that the fleet knows to be on it.

        Returns
        -------
        bool
            Whether it was recorded.
        """
        if not (load.is_plausible and load.is_momentary and said_at > self.said_at):
            return False
        # After a long silence one word must not replace the mean.
        passed = min(said_at - self.said_at, DECAY_SECONDS)
        weight = 1.0 - math.exp(-passed / MEAN_SECONDS)
        self._mean_duration += weight * (load.relative_duration - self._mean_duration)
        self.load, self.said_at = load, said_at
        self._duration = load.relative_duration
        self._unknown_work = max(0, load.running + load.waiting - known_work)
        return True

    def age(self, now):
        """Return the seconds since the target's word; infinite without one."""
        return max(0.0, now - self.said_at)

    def validity(self, now):
        """Return how much of the last word still holds, from 1 to 0."""
        age = self.age(now)
        return math.exp(-age / DECAY_SECONDS) if age < EXPIRY_SECONDS else 0.0

    def factor(self, now):
        """Return how much longer than in its mean work takes on the target now.

        It is 1 when nothing is known or the word is too old.
        """
        validity = self.validity(now)
        if not validity:
            return 1.0
        ratio = self._duration / self._mean_duration
        return 1.0 + validity * (ratio - 1.0)

    def unknown_work(self, now):
        """Return the requests on the target that the fleet does not know, rounded."""
        if not self._unknown_work:
            return 0
        return round(self.validity(now) * self._unknown_work)


class MomentShares:
    """What this instance tells coordinators of targets' words, bounded in size.

    Each word is told once to each coordinator; a lost one is not repeated.
    """

    def __init__(self):
        self._newest: OrderedDict[str, float] = OrderedDict()
        self._told_at_by_key: dict[tuple[str, str], float] = {}
        self._allowed = MAX_SHARED_PER_SECOND
        self._refilled_at = -math.inf

    def record(self, target, said_at):
        """Note that a target said something to this instance."""
        self._newest[target] = said_at
        self._newest.move_to_end(target)

    def is_any_due(self, now):
        """Return whether a word is fresh enough to be told."""
        self._expire(now)
        is_early = now - self._refilled_at < MIN_SHARE_SECONDS
        return bool(self._newest) and not is_early

    def take(self, receiver, states, is_wanted, now):
        """Return the `SharedMoment`s to tell a coordinator, the newest first.

        Parameters
        ----------
        receiver : str
        states : dict of str to TargetState
            All targets by id.
        is_wanted : callable
            Takes a `TargetState`; returns whether the receiver coordinates it.
        """
        self._expire(now)
        passed = now - self._refilled_at
        self._allowed = min(
            self._allowed + passed * MAX_SHARED_PER_SECOND, MAX_SHARED_PER_SECOND
        )
        self._refilled_at = now
        count = min(MAX_SHARED_PER_REPORT, int(self._allowed))
        taken: list[SharedMoment] = []
        for target in reversed(self._newest):
            if len(taken) >= count:
                break
            state, said_at = states.get(target), self._newest[target]
            is_told = self._told_at_by_key.get((receiver, target)) == said_at
            if state is None or is_told or state.moment.said_at != said_at:
                continue
            if is_wanted(state):
                self._told_at_by_key[receiver, target] = said_at
                moment = state.moment
                started_at = state.record.started_at
                taken.append(
                    SharedMoment(target, started_at, moment.load, now - said_at)
                )
        self._allowed -= len(taken)
        return tuple(taken)

    def _expire(self, now):
        while self._newest:
            target, said_at = next(iter(self._newest.items()))
            if now - said_at <= MAX_SHARED_AGE_SECONDS:
                return
            del self._newest[target]
            for key in [key for key in self._told_at_by_key if key[1] == target]:
                del self._told_at_by_key[key]


class Moments:
    """What all targets say, as far as the operator lets it count.

    Parameters
    ----------
    targets : Targets
    is_enabled : bool
    """

    def __init__(self, targets, is_enabled=True):
        self.targets = targets
        self.is_enabled = is_enabled
        self.shares = MomentShares()
        self._heard_at = -math.inf

    def record_answer(self, incarnation, load, is_run, now):
        """Record what a target said in a response to a request of this instance.

        Parameters
        ----------
        incarnation : (str, int)
            Id and start time of the target.
        load : TargetLoad
        is_run : bool
            Whether it ran the request, which the fleet still counts if it did not.

        Returns
        -------
        bool
            Whether it was recorded; not if the target has started again since.
        """
        state = self.targets.state_by_target.get(incarnation[0])
        if not self._is_current(state, incarnation):
            return False
        known_work = self.targets.load(state) - (not is_run)
        is_recorded = state.moment.record(load, now, known_work)
        if is_recorded:
            self._heard_at = now
            self.shares.record(incarnation[0], now)
        return is_recorded

    def record_shared(self, moments, now):
        """Record what targets said to a peer."""
        for shared in moments:
            state = self.targets.state_by_target.get(shared.target)
            if self._is_current(state, (shared.target, shared.target_started_at)):
                known_work = self.targets.load(state)
                if state.moment.record(shared.load, now - shared.age, known_work):
                    self._heard_at = now

    def take_shares(self, receiver, is_wanted, now):
        """Return the `SharedMoment`s to tell a coordinator."""
        if not self.is_enabled:
            return ()
        states = self.targets.state_by_target
        return self.shares.take(receiver, states, is_wanted, now)

    def is_any_valid(self, now):
        """Return whether what some target said may still hold."""
        return now - self._heard_at < EXPIRY_SECONDS

    def load_of(self, state, now):
        """Return the requests on a target, with those that only it knows of."""
        return self.targets.load(state) + state.moment.unknown_work(now)

    def _is_current(self, state, incarnation):
        return (
            self.is_enabled
            and state is not None
            and state.record.incarnation == incarnation
        )
