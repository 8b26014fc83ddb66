"""The state dump of an instance, without secrets."""

import asyncio
import threading

SNAPSHOT_TIMEOUT_SECONDS = 2.0


def snapshot_of(node):
    """Return the state of an instance as plain values.

    It is collected on the thread of the event loop, because only that thread changes
    the state.

    Parameters
    ----------
    node : Node
        The running instance.
    """
    if threading.get_ident() == node.loop_thread:
        return _collect(node)

    async def collect():
        return _collect(node)

    future = asyncio.run_coroutine_threadsafe(collect(), node.loop)
    return future.result(SNAPSHOT_TIMEOUT_SECONDS)


def _collect(node):
    return {
        "instance": node.settings.instance,
        "incarnation": node.incarnation,
        "ready": node.is_ready(),
        "stopping": node.stopping,
        "active_requests": node.app.active,
        "configuration": node.store.snapshot(),
        "currency": node.freshness.snapshot(),
        "published": node.membership.published,
        "suspects": sorted(node.membership.suspects),
        "links": node.links.snapshot(),
        "pools": node.broker.snapshot(),
        "coordinators": node.host.snapshot(),
        "usage": node.scheduler.usage.snapshot(),
        "keys": node.keyed.snapshot() | node.forwarded.snapshot(),
        "platform_calls": node.platform.calls,
    }
