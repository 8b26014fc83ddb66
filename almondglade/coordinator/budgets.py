"""What workspaces may draw: concurrency, tokens and requests of one service."""

from dataclasses import dataclass

SECONDS_PER_MINUTE = 60.0


class TokenBucket:
    """A bucket refilled at a steady rate, which may be overdrawn by settling.

    Parameters
    ----------
    rate : float
        Units a second.
    capacity : float
        Units saved up at most.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, rate, capacity, clock):
        self.rate = rate
        self.capacity = capacity
        self.clock = clock
        self.level = capacity
        self.updated = clock()

    def refill(self):
        """Add what has accrued since the last call and return the level."""
        now = self.clock()
        accrued = self.rate * (now - self.updated)
        self.level = min(self.capacity, self.level + accrued)
        self.updated = now
        return self.level

    def wait_for(self, units):
        """Return the seconds until a draw is covered.

        A draw above the capacity is covered by a full bucket, so that a single
        large request is slowed but never barred.
        """
        missing = min(units, self.capacity) - self.refill()
        return max(0.0, missing / self.rate)

    def consume(self, units):
        """Take units out; a negative number puts them back."""
        self.refill()
        self.level = min(self.capacity, self.level - units)


@dataclass
class Account:
    """The draw of one workspace on one service."""

    concurrent: int
    accepted: int
    tokens: TokenBucket | None
    requests: TokenBucket | None


class BudgetTable:
    """Accounts of all workspaces on one service, opened when first used.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self.by_workspace: dict[str, Account] = {}

    def admit(self, workspace, allowance, tokens, fraction=1.0):
        """Reserve one request's draw, or say when to come back.

        Parameters
        ----------
        workspace : str
            Who draws.
        allowance : Allowance
            What its plan grants.
        tokens : int
            Estimated tokens.
        fraction : float
            Part of the budget that this coordinator may give out, 0 to 1.

        Returns
        -------
        float or None
            None when reserved, else seconds until a repeat is worthwhile.
        """
        account = self._account(workspace, allowance, fraction)
        if account.accepted >= max(1, int(account.concurrent * fraction)):
            return 1.0
        wait = max(
            account.tokens.wait_for(tokens) if account.tokens else 0.0,
            account.requests.wait_for(1) if account.requests else 0.0,
        )
        if wait > 0:
            return wait
        account.accepted += 1
        self._consume(account, tokens, 1)
        return None

    def settle(self, workspace, reserved, used, ran):
        """Replace a reservation by what was used.

        Parameters
        ----------
        workspace : str
            Who drew.
        reserved, used : int
            Tokens.
        ran : bool
            Whether the request was dispatched; otherwise it costs nothing.
        """
        account = self.by_workspace.get(workspace)
        if account is None:
            return
        account.accepted = max(0, account.accepted - 1)
        self._consume(account, (used if ran else 0) - reserved, 0 if ran else -1)

    def charge(self, workspace, allowance, fraction, tokens, requests):
        """Count a draw that another coordinator allowed."""
        account = self._account(workspace, allowance, fraction)
        # A carried draw fades late, so it empties the bucket at most.
        for bucket, units in ((account.tokens, tokens), (account.requests, requests)):
            if bucket is not None:
                bucket.consume(min(units, max(0.0, bucket.refill())))

    def count_admitted(self, workspace, allowance, fraction):
        """Count a request in progress that another coordinator admitted."""
        self._account(workspace, allowance, fraction).accepted += 1

    def _account(self, workspace, allowance, fraction):
        account = self.by_workspace.get(workspace)
        if account is None:
            account = Account(allowance.concurrent, 0, None, None)
            self.by_workspace[workspace] = account
        account.concurrent = allowance.concurrent
        burst = allowance.burst_seconds
        account.tokens = self._bucket(
            account.tokens, allowance.tokens_per_minute, burst, fraction
        )
        account.requests = self._bucket(
            account.requests, allowance.requests_per_minute, burst, fraction
        )
        return account

    def _bucket(self, bucket, per_minute, burst_seconds, fraction):
        """Return a bucket of a rate, going on from the present one."""
        if per_minute is None:
            return None
        rate = per_minute / SECONDS_PER_MINUTE * fraction
        capacity = max(1.0, rate * burst_seconds)
        if bucket is None:
            return TokenBucket(rate, capacity, self.clock)
        if (bucket.rate, bucket.capacity) != (rate, capacity):
            bucket.refill()
            bucket.rate, bucket.capacity = rate, capacity
            bucket.level = min(bucket.level, capacity)
        return bucket

    @staticmethod
    def _consume(account, tokens, requests):
        if account.tokens is not None:
            account.tokens.consume(tokens)
        if account.requests is not None:
            account.requests.consume(requests)
