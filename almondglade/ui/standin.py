"""The ``standin`` commands."""

import signal
import threading

STANDIN_THREADS = 400


def engine(
    port: int,
    *,
    step: float = 0.01,
    step_per_sequence: float = 0.0002,
    prefill_per_token: float = 0.00005,
    cache_tokens: int = 20_000,
    max_batch: int = 64,
    cold_seconds: float = 0.0,
    cold_limit: int = 2,
    tokens_per_step: int = 1,
    knee: int = 64,
    lag: float = 0.0,
    journal: str | None = None,
):
    """Run a model engine with the OpenAI interface.

    Parameters
    ----------
    port
        TCP port on 127.0.0.1.
    step
        Seconds of a decoding step with one sequence.
    step_per_sequence
        Seconds added for each further sequence.
    prefill_per_token
        Seconds for one prompt token.
    cache_tokens
        Prompt tokens kept in the prefix cache.
    max_batch
        Sequences in a batch.
    cold_seconds
        Seconds of cold start.
    cold_limit
        Sequences borne during the cold start.
    tokens_per_step
        Tokens that a sequence gains in a step, sent in one event.
    knee
        Sequences beyond which steps lengthen with the square of their number.
    lag
        Age of the load report, seconds.
    journal
        File to append a line to for each request.
    """
    from standin.engine import Engine, EngineApp, EngineProfile
    from standin.journal import Journal

    profile = EngineProfile(
        step,
        step_per_sequence,
        prefill_per_token,
        cache_tokens,
        max_batch,
        cold_seconds,
        cold_limit,
        tokens_per_step=tokens_per_step,
        knee=knee,
    )
    _serve(port, EngineApp(Engine(profile, lag), Journal(journal)))


def service(
    port: int,
    *,
    delay: float = 0.005,
    lag: float = 0.0,
    journal: str | None = None,
):
    """Run a plain service.

    Parameters
    ----------
    port
        TCP port on 127.0.0.1.
    delay
        Seconds that each request takes.
    lag
        Age of the load report, seconds.
    journal
        File to append a line to for each request.
    """
    from standin.journal import Journal
    from standin.plain import PlainApp

    _serve(port, PlainApp(delay, lag, Journal(journal)))


def platform(port: int):
    """Run the configuration service and the list of instances.

    Parameters
    ----------
    port
        TCP port on 127.0.0.1.
    """
    from standin.platform import PlatformApp

    _serve(port, PlatformApp())


def _serve(port, app):
    from ..httpserver import HttpServer

    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    server = HttpServer("127.0.0.1", port, app, STANDIN_THREADS)
    server.start()
    stop.wait()
    server.stop()


COMMANDS = {"engine": engine, "service": service, "platform": platform}
