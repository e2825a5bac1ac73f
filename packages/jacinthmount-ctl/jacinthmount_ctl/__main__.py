"""Runs the command line with ``python -m jacinthmount_ctl``."""

from jacinthmount_ctl.main import main

main()
