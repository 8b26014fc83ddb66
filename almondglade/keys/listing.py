"""How long this instance has been on the platform's list of instances."""

# An older list may lack an instance that has started since it was read.
MAX_LIST_AGE_SECONDS = 45.0


class Listing:
    """When the list of instances was read, and since when it has had this instance.

    All times are on this instance's own clock.

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
        """Record that the list is about to be read and return the current time."""
        now = self.clock()
        if self._paused_too_long(now):
            # The instance may have been removed from the list and added again
            # during the pause.
            self._listed_since = None
        self._attempted_at = now
        return now

    def record_list(self, attempted_at, listed, version):
        """Record the list that was read.

        Parameters
        ----------
        attempted_at : float
            Time returned by `record_attempt`: if the process was paused before it
            handled the response, the list is as old as the request for it.
        listed : bool
            Whether the list contains this instance.
        version : int
            Version of the list.
        """
        self.version = version
        self._confirmed_at = attempted_at
        if not listed:
            self._listed_since = None
        elif self._listed_since is None:
            self._listed_since = attempted_at

    def is_fresh(self):
        """Return whether the latest list is at most `MAX_LIST_AGE_SECONDS` old."""
        confirmed_at = self._confirmed_at
        return (
            confirmed_at is not None
            and self.clock() - confirmed_at <= MAX_LIST_AGE_SECONDS
        )

    def listed_seconds(self):
        """Return the seconds for which this instance has been listed without a pause.

        The time ends with the latest list read, because a list published later is
        not known here. The result is 0 if the process was paused, that is, if it has
        not tried to read the list for more than `MAX_LIST_AGE_SECONDS`.
        """
        since, confirmed_at = self._listed_since, self._confirmed_at
        if since is None or self._paused_too_long(self.clock()):
            return 0.0
        return confirmed_at - since

    def _paused_too_long(self, now):
        return now - self._attempted_at > MAX_LIST_AGE_SECONDS
