"""Apply an instance's own limits to its requests and its readiness."""

from ..log import get_logger
from ..outcome import Code, RequestError
from ..placement.ownlimits import RETRY_AFTER_SECONDS, OwnLimits, can_be_spared

log = get_logger("ownload")


class OwnLoad:
    """What this instance accepts by its own processor and link.

    Parameters
    ----------
    settings : GatewaySettings
        Without a declared machine, or with the feature turned off, all is accepted.
    peers : callable
        Returns the live `Peer`s that are not leaving; safe from any thread.
    metrics : Metrics
        Metrics that count the refusals.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, settings, peers, metrics, clock):
        self.data_centre = settings.data_centre
        self.capacity = settings.capacity
        self.peers = peers
        self.metrics = metrics
        self.clock = clock
        self.limits = None
        if settings.machine is not None and settings.features.own_limits:
            self.limits = OwnLimits(settings.machine, clock())
        self._was_resting = False

    @property
    def on_thread_wait(self):
        """Takes the seconds that a request waited for a thread; None if unused."""
        return self.limits.record_thread if self.limits is not None else None

    def check(self, request_id, is_urgent):
        """Refuse a request that this instance cannot bear.

        Parameters
        ----------
        request_id : str
        is_urgent : bool
            Whether it continues a stream, and is accepted in any case.

        Raises
        ------
        RequestError
            If it must come back later, or to another instance.
        """
        limits = self.limits
        if limits is None or limits.admit(self.clock(), is_urgent):
            return
        self.metrics.count("own_limit_refusals_total")
        log.info(
            "request refused: this instance has no capacity",
            request=request_id,
            rate=round(limits.rate, 1),
            delay=round(limits.delay, 3),
            link_use=round(limits.link_use, 2),
            age=round(self.clock() - limits.decided_at, 2),
        )
        raise RequestError(
            Code.OVERLOADED,
            "this instance has no capacity for more requests",
            retry_after=RETRY_AFTER_SECONDS,
        )

    def record_bytes(self, count):
        """Record bytes of a body that is received and sent on."""
        if self.limits is not None:
            self.limits.record_bytes(count)

    def record_timer(self, seconds):
        """Record how late a timer fired, and decide anew when it is time."""
        if self.limits is None:
            return
        self.limits.record_timer(max(0.0, seconds))
        if self.limits.decide(self.clock()):
            log.info(
                "own limit changed",
                rate=round(self.limits.rate, 1),
                delay=round(self.limits.delay, 3),
                link_use=round(self.limits.link_use, 2),
                resting=self.limits.resting,
            )

    def is_ready(self):
        """Return whether the balancer should send more callers here."""
        if self.limits is None:
            return True
        resting = self.limits.resting and can_be_spared(
            self.capacity,
            [
                peer.capacity
                for peer in self.peers()
                if peer.data_centre == self.data_centre
            ],
        )
        if resting != self._was_resting:
            self._was_resting = resting
            log.info("readiness by own limits changed", ready=not resting)
        return not resting
