"""Hosts, shares and the configuration in force."""
