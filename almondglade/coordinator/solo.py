"""Run suspect requests alone on a target."""


class SoloRuns:
    """Waiting suspects, and the target that is reserved for the next of them.

    Only one target of the pool is drained for a suspect at a time, so that many
    suspects after a crash of a target do not leave the other targets idle.
    """

    def __init__(self):
        self.waiting_by_request = {}
        self.reserved_target = None

    def add(self, waiting):
        """Add a suspect that would otherwise be granted now."""
        self.waiting_by_request[waiting.demand.request_id] = waiting

    def remove(self, request_id):
        """Remove a suspect and release the target reserved for it."""
        self.waiting_by_request.pop(request_id, None)
        if (
            self.reserved_target is not None
            and self.reserved_target.solo_request_id == request_id
        ):
            self.reserved_target.solo_request_id = ""
            self.reserved_target = None

    def next(self, records, blamed):
        """Return a suspect and the empty target to run it on, or None.

        Parameters
        ----------
        records : list of TargetRecord
            Targets that accept new work.
        blamed : callable
            Returns the targets on which runs of a demand's fingerprint broke.
        """
        if self.reserved_target is not None and not self.reserved_target.serving:
            self.reserved_target.solo_request_id, self.reserved_target = "", None
        if self.reserved_target is None:
            self._reserve(records, blamed)
        if self.reserved_target is None or self.reserved_target.running:
            return None
        waiting = self.waiting_by_request.get(self.reserved_target.solo_request_id)
        return None if waiting is None else (waiting, self.reserved_target)

    def _reserve(self, records, blamed):
        for request_id, waiting in self.waiting_by_request.items():
            others = [r for r in records if r.name not in blamed(waiting.demand)]
            record = min(others or records, key=lambda r: r.running, default=None)
            if record is not None:
                record.solo_request_id = request_id
                self.reserved_target = record
                return
