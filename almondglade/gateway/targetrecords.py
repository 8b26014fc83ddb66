"""Record what requests show of the targets, and look targets up."""

from ..log import get_logger

log = get_logger("requests")


class TargetRecords:
    """What the components of a gateway ask and tell about targets, under the lock.

    Parameters
    ----------
    pools : Pools
        Holds the state of the targets; guarded by `lock`.
    suspects : SuspectTracker
        Told of targets that leave.
    links : LinkMonitor
        Told of failed connections.
    lock : threading.Lock
    on_change : callable
        Called after coordinators must learn of a change.
    metrics : Metrics
        Where what targets say is counted.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, pools, suspects, links, lock, on_change, metrics, clock):
        self.pools = pools
        self.suspects = suspects
        self.links = links
        self.lock = lock
        self.on_change = on_change
        self.metrics = metrics
        self.clock = clock

    def has_target(self, service, version, attempted):
        """Return whether a target that was not attempted has a software version."""
        with self.lock:
            return self.pools.targets.has_target(service, version, attempted)

    def record_statements(self, request, record, response_info):
        """Record that a target says that it is leaving, or wants no requests.

        Parameters
        ----------
        request : GatewayRequest
            Request that it answered.
        record : TargetRecord
        response_info : TargetResponseInfo
        """
        if response_info.is_leaving:
            self.record_leaving(record, request.request_id)
        if response_info.backoff is None or response_info.misdirected:
            return
        with self.lock:
            targets = self.pools.targets
            is_longer = targets.record_backoff(
                record.incarnation, response_info.backoff, self.clock()
            )
        if is_longer:
            self.metrics.count("target_backoffs_total", service=record.service)
            log.info(
                "target wants no requests for a while",
                request=request.request_id,
                target=record.id,
                seconds=response_info.backoff,
            )

    def record_leaving(self, record, source):
        """Record that a target says that it is leaving, in a response or a probe."""
        with self.lock:
            targets = self.pools.targets
            if not targets.record_leaving(record.incarnation):
                return
            self.suspects.update_targets(
                [state.record for state in targets.state_by_target.values()]
            )
        self.metrics.count("targets_leaving_total", service=record.service)
        log.info("target says that it is leaving", target=record.id, source=source)
        # Coordinators must not grant it to this instance any more.
        self.on_change()

    def record_for(self, target):
        """Return the record of a target that accepts new requests, or None."""
        with self.lock:
            if not self.pools.targets.takes_new_work(target):
                return None
            return self.pools.targets.state_by_target[target].record

    def listed_record(self, target):
        """Return the record of a target, or None if it is not listed."""
        with self.lock:
            state = self.pools.targets.state_by_target.get(target)
            return state.record if state is not None else None

    def slowness_of(self, target):
        """Return the slowness of a target; 1 if not known, as where a peer chooses."""
        with self.lock:
            state = self.pools.targets.state_by_target.get(target)
            return state.slowness if state is not None else 1.0

    def is_cut_off(self, request):
        """Return whether this instance reaches no target that could run a request."""
        with self.lock:
            return self.pools.targets.is_cut_off(
                request.service, request.version, self.clock()
            )

    def record_unreachable(self, target):
        """Pause a target to which a connection failed, and probe its service."""
        self.update_health(target, lambda health, now: health.record_unreachable(now))
        record = self.listed_record(target)
        if record is not None:
            self.links.record_failure(record.service)

    def has_other_version(self, record):
        """Return whether a target has started again with another version since."""
        with self.lock:
            state = self.pools.targets.state_by_target.get(record.id)
            return state is not None and state.record.version != record.version

    def update_health(self, target, update):
        """Update the health record of a target.

        Parameters
        ----------
        target : str
            Id of the target; ignored if it is no longer listed.
        update : callable
            Called with the target's `Health` and the time.
        """
        with self.lock:
            state = self.pools.targets.state_by_target.get(target)
            if state is not None:
                before = state.health.is_paused(self.clock())
                update(state.health, self.clock())
                after = state.health.is_paused(self.clock())
                if after and not before:
                    self.metrics.count(
                        "target_pauses_total", service=state.record.service
                    )
                    log.info(
                        "target paused",
                        target=target,
                        seconds=round(state.health.pause, 2),
                        failures=round(state.health.smoothed_failures, 2),
                    )
