"""Run the command line by ``python -m almondglade``."""

from .ui.main import main

main()
