"""Divide a fleet-wide limit between coordinators that may be partitioned."""

import math


def share(limit, connected, published):
    """Return the part of a limit that one coordinator may use.

    A coordinator without a strict majority of the instances uses its proportional
    share, rounded down. One with a strict majority uses all that the others cannot
    use. At most one side of a partition has a majority, and the sum of the other
    sides' rounded shares is never more than the rounded share of their sum, so all
    sides together never exceed the limit.

    Parameters
    ----------
    limit : int
        Fleet-wide limit.
    connected : int
        Instances with a live lease at this coordinator.
    published : int
        Instances on the platform's list.

    Returns
    -------
    int
        Share of the limit, 0 to `limit`.
    """
    members = max(published, connected)
    if connected <= 0 or members <= 0:
        return 0
    if 2 * connected > members:
        return limit - math.floor(limit * (members - connected) / members)
    return math.floor(limit * connected / members)
