"""Calls of workers: requests, probes, worker signals and stage orders."""
