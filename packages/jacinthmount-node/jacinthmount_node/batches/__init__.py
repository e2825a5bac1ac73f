"""Batches and their items on this host."""
