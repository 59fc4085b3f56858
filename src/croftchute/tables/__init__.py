"""Frozen rows of the router's tables."""
