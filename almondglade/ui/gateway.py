"""The ``gateway`` command."""

from ..gateway.settings import METRICS_PORT
from ..log import configure_logs


def gateway(
    *, log_level: str = "info", log_form: str = "json", metrics_port: int = METRICS_PORT
):
    """Run one gateway on a platform until SIGTERM.

    Where it listens and what it reads stands in the file that the platform
    writes; its path is in ``ALMONDGLADE_CONFIG``.

    Parameters
    ----------
    log_level
        debug, info, warning or error.
    log_form
        console or json.
    metrics_port
        Port that serves metrics, as the deploy file names it.
    """
    configure_logs(log_level, log_form, to_output=True)
    # Imported here so that the other commands start quickly.
    from ..gateway.node import run_gateway
    from ..platform.settings import load_gateway_settings, read_settings_fingerprint

    run_gateway(lambda: load_gateway_settings(metrics_port), read_settings_fingerprint)
