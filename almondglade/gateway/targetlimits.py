"""Track the limits that targets name in responses, and share them with the peers."""

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
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    gossip : GossipProtocol
        Sends the messages; set after it has been created.
    """

    def __init__(self, instance, lock, targets, clock):
        self.instance = instance
        self.lock = lock
        self.targets = targets
        self.clock = clock
        self.gossip: Any = None

    def record(self, record, rate, refusal_limit, sent_at):
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
        """
        now = self.clock()
        with self.lock:
            state = self._state(record.incarnation)
            if state is None:
                return
            changes = [
                self._update(limit, name, value, sent_at, now)
                for limit, name, value in (
                    (state.named_rate, RATE, rate),
                    (state.room, REFUSAL_LIMIT, refusal_limit),
                )
                if value is not None
            ]
        self._announce(record, changes)

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
    def _update(limit, name, value, sent_at, received_at):
        """Return the change that a response makes to a limit, or None."""
        former = limit.value
        if not limit.record(value, sent_at, received_at):
            return None
        return name, former, value

    def _announce(self, record, changes):
        """Log the changes of a target's limits, and tell the peers."""
        if not any(changes):
            return
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

    def _send(self, incarnation):
        """Tell all peers what is known of a target's limits."""
        with self.lock:
            state = self._state(incarnation)
            if state is None:
                return
            limits = limits_of(state, self.clock())
        self.gossip.send_to_all_soon(NamedLimits(self.instance, (limits,)))

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

    def handle_message(self, message):
        """Apply the limits that a peer has heard of."""
        now = self.clock()
        for limits in message.limits:
            with self.lock:
                state = self._state((limits.target, limits.target_started_at))
                if state is None:
                    continue
                changes = [
                    self._update(limit, name, parse_limit(value), now - age, now - age)
                    for limit, name, value, age in (
                        (state.named_rate, RATE, limits.rate, limits.rate_age),
                        (
                            state.room,
                            REFUSAL_LIMIT,
                            limits.refusal_limit,
                            limits.refusal_limit_age,
                        ),
                    )
                ]
                if (
                    state.room.is_limited
                    and limits.refused_age < MAX_REFUSAL_AGE_SECONDS
                ):
                    running = self.targets.load(state)
                    state.room.record_refusal(running, now - limits.refused_age, now)
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
    )


def parse_limit(value):
    """Return a limit of a message as a number; infinite if it is None."""
    return NO_LIMIT if value is None else value
