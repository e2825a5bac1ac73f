"""Runs the node with ``python -m jacinthmount_node``."""

from jacinthmount_node.main import main

main()
