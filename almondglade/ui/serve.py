"""The ``serve`` command."""

from ..log import configure_logs
from ..settings import load_settings


def serve(
    *,
    instance: str | None = None,
    data_centre: str | None = None,
    address: str | None = None,
    caller_port: int | None = None,
    operator_port: int | None = None,
    peer_port: int | None = None,
    platform: str | None = None,
    configuration_key: str | None = None,
    service_name: str | None = None,
    max_requests: int | None = None,
    memory_mb: int | None = None,
    reserve_threads: int | None = None,
    stop_timeout: float | None = None,
    stop_notice: float | None = None,
    own_key_window: float | None = None,
    list_lag: float | None = None,
    queue_order: str | None = None,
    target_choice: str | None = None,
    limits: str | None = None,
    log_level: str | None = None,
    log_form: str | None = None,
):
    """Run one entry instance until SIGTERM.

    Each flag has an environment variable, ``ALMONDGLADE_`` and its name in upper
    case; the flag wins. ``ALMONDGLADE_PEER_SECRET`` has no flag: flags can be
    read by others.

    Parameters
    ----------
    instance
        Id of this instance, unique in the fleet.
    data_centre
        Data centre it runs in.
    address
        IP number to bind and to be reached at.
    caller_port
        Port for callers.
    operator_port
        Port for health, metrics and the dump.
    peer_port
        Port for other instances.
    platform
        Base URL of the configuration service.
    configuration_key
        Key of the declared document.
    service_name
        Name under which the platform lists the instances.
    max_requests
        Requests served at once; more are refused at once.
    memory_mb
        Memory of the process in MB; bodies get a fifth of it.
    reserve_threads
        Threads kept for refusals.
    stop_timeout
        Seconds that a graceful stop may take.
    stop_notice
        Seconds of it in which requests that still come are served.
    own_key_window
        Seconds for which a caller's own idempotency key is protected.
    list_lag
        Seconds after an instance is listed until all can read so.
    queue_order
        Plug-in that orders the queue.
    target_choice
        Plug-in that chooses targets.
    limits
        Plug-in that limits targets.
    log_level
        debug, info, warning or error.
    log_form
        console or json.
    """
    settings = load_settings(locals())
    configure_logs(settings.log_level, settings.log_form)
    # Imported here so that the other commands start quickly.
    from ..node import run_node

    run_node(settings)
