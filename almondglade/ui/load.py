"""The ``load`` command."""

from dataclasses import asdict
from pathlib import Path

import orjson

from ..errors import SettingsError


def load(
    *urls: str,
    caller: list[str],
    model: str | None = None,
    plain_path: str | None = None,
    rate: float = 5.0,
    plain_rate: float = 2.0,
    seconds: float = 10.0,
    min_tokens: int = 4,
    max_tokens: int = 400,
    prefixes: int = 8,
    resends: int = 0,
    seed: int = 1,
    output: str | None = None,
    plot: str | None = None,
):
    """Send an open-loop load and print what the callers saw.

    Arrivals do not wait for answers. Lengths are drawn evenly on a logarithmic
    scale. Of the plain requests one half reads (GET) and one half writes (POST).

    Parameters
    ----------
    urls
        Base URLs of the instances, used in turn.
    caller
        Workspace, tier and key joined by colons, for each workspace.
    model
        Model to ask for completions; none are sent without it.
    plain_path
        Path of plain requests; none are sent without it.
    rate
        Completions a second of each workspace.
    plain_rate
        Plain requests a second of each workspace.
    seconds
        Length of the load.
    min_tokens
        Least output length.
    max_tokens
        Greatest output length.
    prefixes
        Number of prompt prefixes of each workspace.
    resends
        Times that a caller sends a failed request again at once.
    seed
        Seed of the arrivals and lengths.
    output
        File for the figures as JSON.
    plot
        Image file for a plot; needs matplotlib.
    """
    from standin.load import LoadRun, plan_arrivals, summarise

    if not urls:
        raise SettingsError("give the base URL of at least one instance")
    draw_plot = _make_plotter() if plot else None
    stream_options = {
        "min_tokens": min_tokens,
        "max_tokens": max_tokens,
        "prefixes": prefixes,
        "resends": resends,
    }
    streams = [
        stream
        for text in caller
        for stream in _streams(
            text, model, plain_path, rate, plain_rate, stream_options
        )
    ]
    samples = LoadRun(urls, plan_arrivals(streams, seconds, seed)).run()
    report = summarise(samples)
    print(_format_table(report))
    if output:
        options = orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS
        Path(output).write_bytes(orjson.dumps(asdict(report), option=options))
    if draw_plot is not None:
        draw_plot(samples, seconds, plot)


def _streams(text, model, plain_path, rate, plain_rate, stream_options):
    from standin.load import Stream

    workspace, tier, key = _parse_caller(text)
    if model:
        yield Stream(workspace, key, tier, rate, model, **stream_options)
    if plain_path:
        for method in ("GET", "POST"):
            yield Stream(
                workspace,
                key,
                tier,
                plain_rate / 2,
                path=plain_path,
                method=method,
                resends=stream_options["resends"] if method == "GET" else 0,
            )


def _parse_caller(text):
    workspace, _, rest = text.partition(":")
    tier, _, key = rest.partition(":")
    if not workspace or not tier.isdigit() or not key:
        raise SettingsError(f"{text!r} is not workspace:tier:key")
    return workspace, int(tier), key


def _format_table(report):
    lines = ["tier  asked  good  goodput"]
    lines += [
        f"{tier:4d} {asked:6d} {report.good_by_tier[tier]:5d} "
        f"{report.good_by_tier[tier] / asked:8.3f}"
        for tier, asked in sorted(report.asked_by_tier.items())
    ]
    first = f"{report.first_token_p50:.3f} s p50, {report.first_token_p95:.3f} s p95"
    lines += [
        f"first byte: {first}; gap: {report.gap_p95:.3f} s p95",
        f"tokens: {report.tokens} generated, {report.prompt_tokens} prompt, "
        f"{report.cached_tokens} of them cached, "
        f"{report.wasted_prompt_tokens} wasted",
    ]
    lines += [f"error {code}: {count}" for code, count in sorted(report.codes.items())]
    return "\n".join(lines)


def _make_plotter():
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise SettingsError("a plot needs matplotlib, which is missing") from error

    def draw_plot(samples, seconds, file):
        figure = Figure(figsize=(8, 6))
        goodput, latency = figure.subplots(2)
        good = [sample for sample in samples if sample.good]
        for tier in sorted({s.arrival.stream.tier for s in good}):
            tier_samples = [s for s in good if s.arrival.stream.tier == tier]
            ends = [s.ended_at for s in tier_samples]
            goodput.hist(
                ends,
                bins=max(1, int(seconds)),
                histtype="step",
                label=f"tier {tier}",
            )
            latency.plot(
                [s.arrival.at for s in tier_samples],
                [s.first_byte_at - s.started_at for s in tier_samples],
                ".",
                label=f"tier {tier}",
            )
        goodput.set(ylabel="whole answers a second")
        latency.set(xlabel="seconds", ylabel="seconds to the first byte")
        for axes in (goodput, latency):
            axes.legend()
        figure.savefig(file)

    return draw_plot
