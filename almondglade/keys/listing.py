"""How long this instance has been on the platform's list, by its own clock."""

# A list confirmed longer ago may lack an instance that has started since.
MAX_LIST_AGE_SECONDS = 45.0


class Listing:
    """When the list was read, and since when it has held this instance.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self._attempted_at = clock()
        self._confirmed_at = None
        self._listed_since = None
        self.version = 0

    def record_attempt(self):
        """Note that the list is about to be read, and return the time."""
        now = self.clock()
        if self._paused_too_long(now):
            # It may have been dropped from the list and taken back unseen.
            self._listed_since = None
        self._attempted_at = now
        return now

    def record_list(self, attempted_at, listed, version):
        """Take in an answer.

        Parameters
        ----------
        attempted_at : float
            What `attempt` returned: an answer that waited here in a paused
            process is as old as its question.
        listed : bool
            Whether the list held this instance.
        version : int
            The list's version.
        """
        self.version = version
        self._confirmed_at = attempted_at
        if not listed:
            self._listed_since = None
        elif self._listed_since is None:
            self._listed_since = attempted_at

    def is_fresh(self):
        """Tell whether the list was confirmed lately."""
        confirmed_at = self._confirmed_at
        return (
            confirmed_at is not None
            and self.clock() - confirmed_at <= MAX_LIST_AGE_SECONDS
        )

    def listed_seconds(self):
        """Return for how many seconds this instance was seen listed, unpaused.

        They end with the latest answer: what was published since is not known.
        """
        since, confirmed_at = self._listed_since, self._confirmed_at
        if since is None or self._paused_too_long(self.clock()):
            return 0.0
        return confirmed_at - since

    def _paused_too_long(self, now):
        return now - self._attempted_at > MAX_LIST_AGE_SECONDS
