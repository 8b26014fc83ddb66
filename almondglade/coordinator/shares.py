"""Divide a fleet-wide limit between coordinators that cannot see each other."""

import math


def share(limit, connected, published):
    """Return the part of a limit that one coordinator may use.

    A coordinator without a majority uses the floor of its proportional share.
    One with a strict majority uses what the minority cannot: at most one side
    has a majority, and the floors of the other sides never add up to more than
    the floor of their sum, so all sides together never exceed the limit.

    Parameters
    ----------
    limit : int
        Fleet-wide limit.
    connected : int
        Instances whose lease this coordinator holds.
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
