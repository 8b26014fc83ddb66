"""Run a suspect request alone on a target."""


class SoloRuns:
    """Suspects that wait for a target of their own; one target at a time.

    Only one target of the pool is emptied for a suspect, so that many suspects
    after the death of a target do not idle the others.
    """

    def __init__(self):
        self.waiting_by_request = {}
        self.record = None

    def add(self, waiting):
        """Note a suspect that has come to its turn."""
        self.waiting_by_request[waiting.demand.request_id] = waiting

    def remove(self, request_id):
        """Forget a suspect, and give its target back."""
        self.waiting_by_request.pop(request_id, None)
        if self.record is not None and self.record.solo_request_id == request_id:
            self.record.solo_request_id = ""
            self.record = None

    def next(self, records, blamed):
        """Return a suspect and the empty target to run it on, or None.

        Parameters
        ----------
        records : list of TargetRecord
            Targets that may receive new work.
        blamed : callable
            Returns the targets on which a demand's fingerprint broke before.
        """
        if self.record is not None and not self.record.serving:
            self.record.solo_request_id, self.record = "", None
        if self.record is None:
            self._reserve(records, blamed)
        if self.record is None or self.record.running:
            return None
        waiting = self.waiting_by_request.get(self.record.solo_request_id)
        return None if waiting is None else (waiting, self.record)

    def _reserve(self, records, blamed):
        for request_id, waiting in self.waiting_by_request.items():
            others = [r for r in records if r.name not in blamed(waiting.demand)]
            record = min(others or records, key=lambda r: r.running, default=None)
            if record is not None:
                record.solo_request_id = request_id
                self.record = record
                return
