"""Select the target that is expected to respond to a request first.

Load pattern: targets differ several times in speed, some are cold or unreachable
from one instance for a while, and bodies cost more between data centres. A long
stream on a slow target would miss its deadline and hold a slot until then. Some turn
slower for moments.
"""

from .momentchoice import MomentSelector

# Penalty in slots for a target in another data centre: it must have that many more
# free slots to be preferred to one in the request's own data centre.
REMOTE_PENALTY_SLOTS = 2.0
# Share of the time left that a stream may be expected to take on a target.
STREAM_TIME_SHARE = 0.85


class TargetSelector:
    """Selects targets on one instance.

    Parameters
    ----------
    instance : str
        This instance.
    cold_limiter : ColdTargetLimiter
        Limits requests to cold targets.
    rng : random.Random or None
        Draws targets where no coordinator counts what others send.

    Attributes
    ----------
    cold_rate_by_service : dict of str to float
        Requests per second that a cold target can handle; 0 is no limit.
    moments : MomentSelector
        Weighs how fast targets are at this moment.
    """

    def __init__(self, instance, cold_limiter, rng=None):
        self.instance = instance
        self.cold_limiter = cold_limiter
        self.cold_rate_by_service: dict[str, float] = {}
        self.moments = MomentSelector(rng)

    def choose(self, ticket, loads, avoided, now):
        """Return the state of the best target with a free slot, or None.

        Parameters
        ----------
        ticket : Ticket
            The request.
        loads : list of (TargetState, int)
            Usable targets and the number of requests that run on each.
        avoided : frozenset of str
            Targets that the request must not be sent to.
        """
        slow = self._too_slow(ticket, loads, now)
        candidates = [
            (self._cost(ticket, state, load, now), state.record.id, state)
            for state, load in loads
            if load < state.limit()
            and self._is_within_rate(ticket, state)
            and state.record.id not in avoided
            and state.record.id not in slow
            and (
                not self._is_cold(state, now)
                or self._may_send_to_cold(ticket, state, now)
            )
        ]
        if not candidates:
            return None
        is_coordinated = ticket.coordinator in ("", self.instance)
        return self.moments.choose(ticket, candidates, is_coordinated, now)

    def record_choice(self, ticket, state, now):
        """Count a request that is sent to a target."""
        if state.named_rate.is_limited:
            state.named_rate.record_granted()
        if self._is_cold(state, now):
            rate = self.cold_rate_by_service[ticket.service]
            self.cold_limiter.record_sent(state.record.id, rate, now)

    def _is_within_rate(self, ticket, state):
        """Return whether a target may get a request by the rate limit that it names.

        Only the request's coordinator counts what the target has got.
        """
        return not state.named_rate.is_limited or (
            ticket.coordinator == self.instance and state.named_rate.free_requests >= 1
        )

    @staticmethod
    def _cost(ticket, state, load, now):
        is_remote = state.record.data_centre != ticket.data_centre
        utilisation = (load + 1 + REMOTE_PENALTY_SLOTS * is_remote) / state.record.slots
        return utilisation * state.slowness * (1.0 + state.health.failure_share(now))

    @staticmethod
    def _too_slow(ticket, loads, now):
        """Return the targets that cannot finish a long stream before its deadline.

        The set is empty if no target can.
        """
        if not ticket.expected_events:
            return frozenset()
        left = STREAM_TIME_SHARE * (ticket.deadline - now)
        slow = {
            state.record.id
            for state, _ in loads
            if ticket.expected_events * state.fleet_stats.event_seconds > left
        }
        return slow if len(slow) < len(loads) else frozenset()

    def _is_cold(self, state, now):
        rate = self.cold_rate_by_service.get(state.record.service, 0.0)
        return rate > 0.0 and now < state.record.cold_until

    def _may_send_to_cold(self, ticket, state, now):
        """Return whether a cold target may get a request.

        Only the request's coordinator may send it there, as the rate limit is
        counted per coordinator.
        """
        rate = self.cold_rate_by_service[ticket.service]
        return ticket.coordinator == self.instance and self.cold_limiter.may_send(
            state.record.id, rate, now
        )
