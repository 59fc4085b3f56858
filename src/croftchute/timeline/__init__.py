"""Typed events with hybrid logical timestamps, and their merging into one time line."""
