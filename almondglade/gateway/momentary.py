"""Record what targets say of their load, and log the choices that it changes."""

from ..log import get_logger

log = get_logger("requests")

# Targets of which it is remembered that their word was logged as unusable.
MAX_LOGGED_TARGETS = 1024
# Changed choices that are logged in a second; the counter has them all.
MAX_CHOICE_LINES_PER_SECOND = 10
# The ages of words that were never heard are logged as this, in seconds.
MAX_LOGGED_AGE_SECONDS = 1e3


class MomentRecorder:
    """Passes what targets say in responses to the decisions on them.

    Parameters
    ----------
    pools : Pools
        Keeps it by target; guarded by `lock`.
    lock : threading.Lock
    metrics : Metrics
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, pools, lock, metrics, clock):
        self.pools = pools
        self.lock = lock
        self.metrics = metrics
        self.clock = clock
        self._unusable_by_target: dict[str, int] = {}
        self._second = 0
        self._lines_in_second = 0
        pools.selector.moments.on_changed = self._record_changed

    def record(self, request_id, record, response_info):
        """Record what a target says of its load in a response.

        Parameters
        ----------
        request_id : str
            Request that it answered.
        record : TargetRecord
            The target as it was when the request was sent.
        response_info : TargetResponseInfo
        """
        if not self.pools.moments.is_enabled:
            return
        load = response_info.load
        if response_info.is_load_unusable:
            self._log_unusable(request_id, record)
        if load is None or not load.is_momentary:
            # Without its speed, the counts of the fleet are newer than its word.
            return
        with self.lock:
            is_recorded = self.pools.moments.record_answer(
                record.incarnation, load, not response_info.not_run, self.clock()
            )
        self.metrics.count(
            "target_loads_total",
            service=record.service,
            result="used" if is_recorded else "outdated",
        )

    def _log_unusable(self, request_id, record):
        self.metrics.count(
            "target_loads_total", service=record.service, result="unusable"
        )
        with self.lock:
            logged = self._unusable_by_target
            is_new = logged.get(record.id) != record.started_at
            if is_new:
                if len(logged) >= MAX_LOGGED_TARGETS:
                    logged.pop(next(iter(logged)))
                logged[record.id] = record.started_at
        if is_new:
            log.warning(
                "load of the target ignored: its figures cannot be true",
                request=request_id,
                target=record.id,
            )

    def _record_changed(self, choice):
        """Count and log a changed choice; the caller holds the lock."""
        self.metrics.count("momentary_choices_total", service=choice.service)
        second = int(self.clock())
        if second != self._second:
            self._second, self._lines_in_second = second, 0
        self._lines_in_second += 1
        if self._lines_in_second > MAX_CHOICE_LINES_PER_SECOND:
            return
        log.info(
            "target chosen by its speed at this moment",
            number=choice.request,
            owner=choice.owner,
            service=choice.service,
            target=choice.target,
            factor=round(choice.factor, 2),
            age=round(min(choice.age, MAX_LOGGED_AGE_SECONDS), 3),
            usual_target=choice.usual_target,
            usual_factor=round(choice.usual_factor, 2),
            usual_age=round(min(choice.usual_age, MAX_LOGGED_AGE_SECONDS), 3),
        )
