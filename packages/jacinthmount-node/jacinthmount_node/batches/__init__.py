"""Batch processing of a host: batch and file APIs, claims, item scheduling."""
