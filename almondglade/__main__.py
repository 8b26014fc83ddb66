"""Run the command line by ``python -m almondglade``."""

import signal
import sys

from .ui.services import SERVICES

if set(SERVICES) & set(sys.argv[1:2]):
    # A reload during the start would end the process: the handler comes later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .ui.main import main  # noqa: E402

main()
