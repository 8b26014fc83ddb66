"""Budgets of workspaces for one service: concurrency, tokens and requests."""

from dataclasses import dataclass

SECONDS_PER_MINUTE = 60.0


class TokenBucket:
    """Token bucket whose level may become negative when a reservation is settled.

    Parameters
    ----------
    rate : float
        Units added per second.
    capacity : float
        Maximum level, units.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, rate, capacity, clock):
        self.rate = rate
        self.capacity = capacity
        self.clock = clock
        self.level = capacity
        self.updated_at = clock()

    def refill(self):
        """Add the units accrued since the last update and return the level."""
        now = self.clock()
        accrued = self.rate * (now - self.updated_at)
        self.level = min(self.capacity, self.level + accrued)
        self.updated_at = now
        return self.level

    def wait_for(self, units):
        """Return the seconds until the bucket holds enough units.

        A full bucket is enough for any number of units above the capacity, so that
        a single large request is delayed but never blocked for good.
        """
        missing = min(units, self.capacity) - self.refill()
        return max(0.0, missing / self.rate)

    def consume(self, units):
        """Remove units from the bucket; a negative number returns them."""
        self.refill()
        self.level = min(self.capacity, self.level - units)


@dataclass
class Account:
    """Usage of one service by one workspace.

    Parameters
    ----------
    concurrent : int
        Requests that the workspace may have waiting or in progress.
    accepted : int
        Requests admitted and not settled yet.
    tokens, requests : TokenBucket or None
        Rate limits; None where the plan has none.
    """

    concurrent: int
    accepted: int
    tokens: TokenBucket | None
    requests: TokenBucket | None


class BudgetTable:
    """Accounts of all workspaces for one service, created on first use.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self.by_workspace: dict[str, Account] = {}

    def admit(self, workspace, allowance, tokens, fraction=1.0):
        """Reserve the budget for one request, or return the time until a retry.

        Parameters
        ----------
        workspace : str
            Workspace whose budget is charged.
        allowance : Allowance
            Limits of its plan.
        tokens : int
            Estimated tokens of the request.
        fraction : float
            Fraction of the budget that this coordinator may allocate, 0 to 1.

        Returns
        -------
        float or None
            None if the budget was reserved, else the seconds after which a retry
            may succeed.
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
        """Replace a reservation by the actual usage.

        Parameters
        ----------
        workspace : str
            Workspace whose budget was reserved.
        reserved, used : int
            Estimated and actual tokens.
        ran : bool
            Whether the request was dispatched; if not, it is not charged.
        """
        account = self.by_workspace.get(workspace)
        if account is None:
            return
        account.accepted = max(0, account.accepted - 1)
        self._consume(account, (used if ran else 0) - reserved, 0 if ran else -1)

    def charge(self, workspace, allowance, fraction, tokens, requests):
        """Charge usage that another coordinator admitted.

        Parameters
        ----------
        workspace : str
            Workspace to charge.
        allowance : Allowance
            Limits of its plan.
        fraction : float
            Fraction of the budget that this coordinator may allocate, 0 to 1.
        tokens, requests : float
            Recent usage, which decays over time.
        """
        account = self._account(workspace, allowance, fraction)
        # Carried usage decays more slowly than the bucket refills, so it may empty
        # the bucket but not overdraw it.
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
        """Return a bucket with a rate and capacity, keeping the level of an old one."""
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
