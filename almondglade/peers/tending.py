"""Maintain the links of this instance, and rejoin higher ranked coordinators."""

import asyncio

MAINTENANCE_INTERVAL_SECONDS = 0.25
# After this, an instance trusts itself as a coordinator even if no other entry uses it.
SELF_TRUST_SECONDS = 4.0


class LinkMaintainer:
    """Reviews links, relays and coordinators at regular intervals.

    Parameters
    ----------
    membership : Membership
        Listed instances.
    links : LinkTable
        Links that this instance opens.
    freshness : ConfigurationFreshness
        Evidence that the configuration is the newest.
    host : CoordinatorHost
        Coordinators that run in this instance.
    store : ConfigurationStore
        Holds the current configuration.
    rejoin : callable
        Chooses the coordinators of all pools again.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, membership, links, freshness, host, store, rejoin, clock):
        self.membership = membership
        self.links = links
        self.freshness = freshness
        self.host = host
        self.store = store
        self.rejoin = rejoin
        self.clock = clock
        self.started_at = clock()

    async def run(self):
        """Maintain the links until cancelled."""
        while True:
            if self.membership.has_list:
                self.maintain()
            await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS)

    def maintain(self):
        """Open and close links, and trust suspects whose link is stable."""
        membership = self.membership
        self.freshness.set_relays(membership.relays())
        self.freshness.is_current()
        declarations = self.store.declarations
        pools = declarations.services if declarations is not None else ()
        self.links.reconcile(membership.required_links(pools))
        for name in list(membership.suspects):
            if self._is_trustworthy(name):
                membership.trust(name)
        self.rejoin()

    def _is_trustworthy(self, name):
        if name != self.membership.own.name:
            return self.links.is_stable(name)
        has_other_entries = any(
            coordinator.leases.by_entry.keys() - {name}
            for coordinator in self.host.by_pool.values()
        )
        return has_other_entries or self.clock() - self.started_at > SELF_TRUST_SECONDS
