"""Track the limits that targets name in responses, and share them with the peers."""

from typing import Any

from ..gossip.messages import NamedLimit, NamedLimits
from ..log import get_logger
from ..placement.ratelimits import NO_LIMIT, format_rate

log = get_logger("limits")

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

    def record(self, record, rate, sent_at):
        """Record the rate that a target named in a response to this instance.

        Parameters
        ----------
        record : TargetRecord
            The target to which the request was sent.
        rate : float
            Requests per second; infinite if it named none.
        sent_at : float
            Monotonic time at which the request was sent.
        """
        now = self.clock()
        if self._update(record.incarnation, rate, sent_at, now, now, self.instance):
            self._send_change(record.incarnation)
            self.gossip.run_soon(self._schedule_resends, record.incarnation)

    def _update(self, incarnation, rate, sent_at, received_at, now, source):
        with self.lock:
            state = self._state(incarnation)
            if state is None:
                return False
            former = state.named_rate.rate
            if not state.named_rate.record(rate, sent_at, received_at):
                return False
        log.info(
            "rate limit of a target changed",
            target=incarnation[0],
            service=state.record.service,
            rate=format_rate(rate),
            former=format_rate(former),
            source=source,
            age=round(now - received_at, 3),
        )
        return True

    def _state(self, incarnation):
        state = self.targets.state_by_target.get(incarnation[0])
        is_current = state is not None and state.record.incarnation == incarnation
        return state if is_current else None

    def _schedule_resends(self, incarnation):
        for seconds in RESEND_SECONDS:
            self.gossip.call_later(seconds, lambda: self._send_change(incarnation))

    def _send_change(self, incarnation):
        with self.lock:
            state = self._state(incarnation)
            if state is None:
                return
            limit = self._limit_of(state, self.clock())
        self.gossip.send_to_all_soon(NamedLimits(self.instance, (limit,)))

    def messages(self):
        """Return messages with all limits in force."""
        now = self.clock()
        with self.lock:
            limits = [
                self._limit_of(state, now)
                for state in self.targets.state_by_target.values()
                if state.named_rate.is_limited
            ]
        return [
            NamedLimits(
                self.instance, tuple(limits[start : start + MAX_LIMITS_PER_MESSAGE])
            )
            for start in range(0, len(limits), MAX_LIMITS_PER_MESSAGE)
        ]

    @staticmethod
    def _limit_of(state, now):
        """Return what is known of a target's limits, with ages, as clocks differ."""
        named = state.named_rate
        said_at = named.named_at if named.is_limited else named.unlimited_at
        return NamedLimit(
            state.record.id,
            state.record.started_at,
            format_rate(named.rate),
            now - said_at,
        )

    def handle_message(self, message):
        """Apply the limits that a peer has heard of."""
        now = self.clock()
        for limit in message.limits:
            said_at = now - limit.age
            rate = NO_LIMIT if limit.rate is None else limit.rate
            incarnation = (limit.target, limit.target_started_at)
            self._update(incarnation, rate, said_at, said_at, now, message.instance)
