"""Operators' configuration: its types, checks, schema and submission."""
