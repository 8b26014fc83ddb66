"""Track the limits that targets name in responses, and share them with the peers."""

import math
from typing import Any

from ..gossip.messages import NamedLimit, NamedLimits
from ..log import get_logger
from ..placement.ratelimits import NO_LIMIT, format_limit

log = get_logger("limits")

# Names of the limits in the logs.
RATE = "requests per second"
REFUSAL_LIMIT = "refusals per second"
# A refusal that a peer reports later than this is the one that is known already.
MAX_REFUSAL_AGE_SECONDS = 1.0

# A change is sent again after these times, as datagrams are lost.
RESEND_SECONDS = (0.3, 0.8, 2.0)
# Interval at which coordinators hear that failures still name a limit; well below the
# time after which it would grow.
REFRESH_SECONDS = 0.5
# Keeps a message within one packet.
MAX_LIMITS_PER_MESSAGE = 16


class LimitTracker:
    """Records what targets say of their limits, on one gateway.

    Parameters
    ----------
    instance : str
        This instance.
    lock : threading.Lock
        Guards the targets.
    targets : Targets
        All listed targets.
    coordinators_of : callable
        Takes a `TargetRecord` and the time, and returns the set of the instances that
        grant the target's slots; called with the lock held.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    gossip : GossipProtocol
        Sends the messages; set after it has been created.
    """

    def __init__(self, instance, lock, targets, coordinators_of, clock):
        self.instance = instance
        self.lock = lock
        self.targets = targets
        self.coordinators_of = coordinators_of
        self.clock = clock
        self.gossip: Any = None
        self._refreshed_at_by_target: dict[str, float] = {}

    def record(self, record, rate, refusal_limit, sent_at, is_failure):
        """Record the limits that a target named in a response to this instance.

        Parameters
        ----------
        record : TargetRecord
            The target to which the request was sent.
        rate : float or None
            Requests per second; infinite if it named no limit, None if it is not known.
        refusal_limit : float or None
            Refusals in a second that it bears; infinite if it is not brittle, None if
            it is not known.
        sent_at : float
            Monotonic time at which the request was sent.
        is_failure : bool
            Whether the target refused or failed the request.
        """
        now = self.clock()
        with self.lock:
            state = self._state(record.incarnation)
            if state is None:
                return
            changes = [
                self._update(limit, name, value, (sent_at, now, is_failure))
                for limit, name, value in (
                    (state.named_rate, RATE, rate),
                    (state.room, REFUSAL_LIMIT, refusal_limit),
                )
                if value is not None
            ]
            coordinators = self._coordinators_to_refresh(state, is_failure, now)
        if any(changes):
            self._announce(record, changes)
        elif coordinators:
            self._send(record.incarnation, coordinators)

    def _coordinators_to_refresh(self, state, is_failure, now):
        """Return who must hear that failures still name a limit.

        It would end at the coordinator otherwise; the others only follow.
        """
        limits = (state.named_rate, state.room)
        if not is_failure or not any(
            limit.is_limited and limit.is_from_failures and limit.said_at == now
            for limit in limits
        ):
            return frozenset()
        refreshed_at = self._refreshed_at_by_target.get(state.record.id, -math.inf)
        if now - refreshed_at < REFRESH_SECONDS:
            return frozenset()
        self._refreshed_at_by_target[state.record.id] = now
        return self.coordinators_of(state.record, now) - {self.instance}

    def record_refusal(self, record):
        """Record that a target refused a request for want of room."""
        now = self.clock()
        with self.lock:
            state = self._state(record.incarnation)
            if state is None or not state.room.is_limited:
                return
            running = self.targets.load(state)
            state.room.record_refusal(running, now, now)
        log.info(
            "brittle target refused a request",
            target=record.id,
            running=running,
            room=state.room.room_then,
        )
        self._send(record.incarnation)

    @staticmethod
    def _update(limit, name, value, response):
        """Return the change that a response makes to a limit, or None.

        Parameters
        ----------
        response : (float, float, bool)
            When its request was sent, when it was received, and whether it is a
            failure.
        """
        former = limit.value
        if not limit.record(value, *response):
            return None
        return name, former, value

    def _announce(self, record, changes):
        """Log the changes of a target's limits, and tell the peers."""
        self._log(record, changes, self.instance, 0.0)
        self._send(record.incarnation)
        self.gossip.run_soon(self._schedule_resends, record.incarnation)

    @staticmethod
    def _log(record, changes, source, age):
        for name, former, value in filter(None, changes):
            log.info(
                "limit of a target changed",
                target=record.id,
                service=record.service,
                limit=name,
                value=format_limit(value),
                former=format_limit(former),
                source=source,
                age=round(age, 3),
            )

    def _state(self, incarnation):
        state = self.targets.state_by_target.get(incarnation[0])
        is_current = state is not None and state.record.incarnation == incarnation
        return state if is_current else None

    def _schedule_resends(self, incarnation):
        for seconds in RESEND_SECONDS:
            self.gossip.call_later(seconds, lambda: self._send(incarnation))

    def _send(self, incarnation, names=None):
        """Tell peers what is known of a target's limits; all of them if None."""
        with self.lock:
            state = self._state(incarnation)
            if state is None:
                return
            limits = limits_of(state, self.clock())
        message = NamedLimits(self.instance, (limits,))
        if names is None:
            self.gossip.send_to_all_soon(message)
        else:
            self.gossip.send_soon(names, message)

    def expire(self):
        """End the limits that failures alone named, and not for a while."""
        now = self.clock()
        with self.lock:
            self._refreshed_at_by_target = {
                name: at
                for name, at in self._refreshed_at_by_target.items()
                if now - at < REFRESH_SECONDS
            }
            ended = [
                (state.record, self._expire_limits(state, now))
                for state in self.targets.state_by_target.values()
            ]
        for record, changes in ended:
            self._log(record, changes, "expiry", 0.0)

    @staticmethod
    def _expire_limits(state, now):
        """End the outdated limits of a target and return these changes."""
        changes = []
        for name, limit in ((RATE, state.named_rate), (REFUSAL_LIMIT, state.room)):
            former = limit.value
            if limit.expire(now):
                changes.append((name, former, NO_LIMIT))
        return changes

    def messages(self):
        """Return messages with all limits in force."""
        now = self.clock()
        with self.lock:
            limits = [
                limits_of(state, now)
                for state in self.targets.state_by_target.values()
                if state.named_rate.is_limited or state.room.is_limited
            ]
        return [
            NamedLimits(
                self.instance, tuple(limits[start : start + MAX_LIMITS_PER_MESSAGE])
            )
            for start in range(0, len(limits), MAX_LIMITS_PER_MESSAGE)
        ]

    def handle_message(self, message, sent_at=None):
        """Apply the limits that a peer has heard of.

        Parameters
        ----------
        message : NamedLimits
        sent_at : float or None
            Monotonic time at which its ages were true; None for now.
        """
        now = self.clock()
        sent_at = now if sent_at is None else sent_at
        for limits in message.limits:
            with self.lock:
                state = self._state((limits.target, limits.target_started_at))
                if state is None:
                    continue
                changes = [
                    self._update(
                        limit,
                        name,
                        parse_limit(value),
                        (sent_at - age, sent_at - age, is_from_failures),
                    )
                    for limit, name, value, age, is_from_failures in (
                        (
                            state.named_rate,
                            RATE,
                            limits.rate,
                            limits.rate_age,
                            limits.is_rate_from_failures,
                        ),
                        (
                            state.room,
                            REFUSAL_LIMIT,
                            limits.refusal_limit,
                            limits.refusal_limit_age,
                            limits.is_refusal_limit_from_failures,
                        ),
                    )
                ]
                refused_at = sent_at - limits.refused_age
                if state.room.is_limited and now - refused_at < MAX_REFUSAL_AGE_SECONDS:
                    running = self.targets.load(state)
                    state.room.record_refusal(running, refused_at, now)
            self._log(state.record, changes, message.instance, limits.rate_age)


def limits_of(state, now):
    """Return what is known of a target's limits, with ages, as clocks differ."""
    rate, room = state.named_rate, state.room
    return NamedLimit(
        state.record.id,
        state.record.started_at,
        format_limit(rate.value),
        now - rate.said_at,
        format_limit(room.value),
        now - room.said_at,
        now - room.refused_at,
        rate.is_from_failures,
        room.is_from_failures,
    )


def parse_limit(value):
    """Return a limit of a message as a number; infinite if it is None."""
    return NO_LIMIT if value is None else value
