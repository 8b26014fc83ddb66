"""Choose the target at which a request is expected to be answered first.

Load pattern: targets differ several times in pace, some are cold or just out of
use for one instance, and bodies cost more between data centres. A long stream at
a slow target would not end in its time and hold a place all the while.
"""

# What another data centre adds to a target's load, in places: a target there must
# be that much emptier.
REMOTE_PENALTY_SLOTS = 2.0
# Share of its time that a stream may be expected to take at a target.
TIME_SHARE = 0.85


class TargetChoice:
    """Chooses targets for one instance.

    Parameters
    ----------
    instance : str
        This instance.
    pace : ColdPace
        Bounds requests to cold targets.

    Attributes
    ----------
    cold_rate_by_service : dict of str to float
        Requests a second that a cold target bears; 0 is no limit.
    """

    def __init__(self, instance, pace):
        self.instance = instance
        self.pace = pace
        self.cold_rate_by_service: dict[str, float] = {}

    def choose(self, ticket, loads, avoided, now):
        """Return the state of the best target with a free place, or None.

        Parameters
        ----------
        ticket : Ticket
            The request.
        loads : list of (TargetState, int)
            Usable targets and the requests that run there.
        avoided : frozenset of str
            Targets that the request must not get.
        """
        slow = self._too_slow(ticket, loads, now)
        candidates = [
            (self._cost(ticket, state, load, now), state.record.id, state)
            for state, load in loads
            if load < state.limit()
            and state.record.id not in avoided
            and state.record.id not in slow
            and (not self._is_cold(state, now) or self._may_warm(ticket, state, now))
        ]
        return min(candidates)[2] if candidates else None

    def chosen(self, ticket, state, now):
        """Count a request that goes to a target."""
        if self._is_cold(state, now):
            rate = self.cold_rate_by_service[ticket.service]
            self.pace.sent(state.record.id, rate, now)

    @staticmethod
    def _cost(ticket, state, load, now):
        remote = state.record.data_centre != ticket.data_centre
        filling = (load + 1 + REMOTE_PENALTY_SLOTS * remote) / state.record.slots
        return filling * state.slowness * (1.0 + state.health.failure_share(now))

    @staticmethod
    def _too_slow(ticket, loads, now):
        """Return the targets that cannot end a long stream in time.

        None are, if there is no target that can.
        """
        if not ticket.events:
            return frozenset()
        left = TIME_SHARE * (ticket.deadline - now)
        slow = {
            state.record.id
            for state, _ in loads
            if ticket.events * state.fleet_stats.event_seconds > left
        }
        return slow if len(slow) < len(loads) else frozenset()

    def _is_cold(self, state, now):
        rate = self.cold_rate_by_service.get(state.record.service, 0.0)
        return rate > 0.0 and now < state.record.cold_until

    def _may_warm(self, ticket, state, now):
        """Tell whether a cold target may get a request; coordinators alone decide."""
        rate = self.cold_rate_by_service[ticket.service]
        return ticket.coordinator == self.instance and self.pace.may_send(
            state.record.id, rate, now
        )
