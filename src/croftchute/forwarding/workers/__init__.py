"""Calls of workers: requests, probes, worker advice and stage orders."""
