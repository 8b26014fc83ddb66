"""Run the command line with ``python -m almondglade``."""

import gc
import signal
import sys

from .ui.services import SERVICES

if set(SERVICES) & set(sys.argv[1:2]):
    # Until the service installs its handler, a reload signal (SIGHUP) during the start
    # would terminate the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Nothing that is imported becomes garbage; the service enables collections again.
    gc.disable()

from .ui.main import main  # noqa: E402

main()
