"""Tests of the metrics, their labels and their documentation."""

import threading

from almondglade.metrics import COUNTERS, GAUGES, HISTOGRAMS, Metrics

THREADS = 8
COUNTS_PER_THREAD = 2000


def exposition(metrics):
    return metrics.render(["text/plain"])[0].decode()


def test_concurrent_counts_are_not_lost():
    metrics = Metrics()

    def count():
        for _ in range(COUNTS_PER_THREAD):
            metrics.count("dispatches_total", service="drafts", result="completed")

    threads = [threading.Thread(target=count) for _ in range(THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    line = 'almondglade_dispatches_total{result="completed",service="drafts"} 16000'
    assert line in exposition(metrics)


def test_a_cleared_gauge_is_not_exported():
    metrics = Metrics()
    metrics.set("target_limit", 3, target="d1")
    metrics.clear("target_limit")
    assert 'target="d1"' not in exposition(metrics)


def test_no_metric_has_a_label_for_workspaces_or_instances():
    labels = {
        label
        for table in (COUNTERS, GAUGES, HISTOGRAMS)
        for names, _ in table.values()
        for label in names
    }
    assert labels <= {"service", "tier", "outcome", "code", "result", "kind", "target"}


def test_every_metric_is_documented():
    with open("docs/metrics.md", encoding="utf-8") as file:
        page = file.read()
    for table in (COUNTERS, GAUGES, HISTOGRAMS):
        for name, (labels, help_text) in table.items():
            label_names = ", ".join(labels) or "none"
            assert f"| `almondglade_{name}` | {label_names} | {help_text} |" in page
