"""The single-file binary: it runs in place, with no child and no files at home."""

import os
import signal
import subprocess
import time
from pathlib import Path

import pytest
import urllib3

from bench.binary import build
from bench.fleet import PEER_SECRET, free_port, url_of

START_SECONDS = 60.0
STOP_SECONDS = 60.0


@pytest.fixture(scope="module")
def binary():
    return build().resolve()


def await_answer(url):
    deadline = time.monotonic() + START_SECONDS
    while True:
        try:
            return urllib3.request("GET", url, retries=False, timeout=2.0)
        except (urllib3.exceptions.HTTPError, OSError):
            if time.monotonic() > deadline:
                raise
            time.sleep(0.1)


def children_of(pid):
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return "".join((task / "children").read_text() for task in tasks).split()


def test_runs_in_place_without_a_child_or_a_home_to_write_to(binary, tmp_path):
    home = tmp_path / "home"
    home.mkdir(mode=0o555)
    environment = {
        "HOME": str(home),
        "PATH": os.environ["PATH"],
        "PEX_ROOT": str(tmp_path / "unpacked"),
        "ALMONDGLADE_PEER_SECRET": PEER_SECRET,
        "ALMONDGLADE_INSTANCE": "e1",
        "ALMONDGLADE_DATA_CENTRE": "muc-a",
        "ALMONDGLADE_PLATFORM": url_of(free_port()),
        "ALMONDGLADE_CALLER_PORT": str(free_port()),
        "ALMONDGLADE_OPERATOR_PORT": str(free_port()),
        "ALMONDGLADE_PEER_PORT": str(free_port()),
        "ALMONDGLADE_STOP_TIMEOUT": "1",
    }
    process = subprocess.Popen([binary, "serve"], env=environment, cwd=tmp_path)
    try:
        port = environment["ALMONDGLADE_OPERATOR_PORT"]
        assert await_answer(url_of(port) + "/healthz").status == 200
        assert children_of(process.pid) == []
        assert list(home.iterdir()) == []
        process.send_signal(signal.SIGTERM)
        assert process.wait(STOP_SECONDS) == 0
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()
