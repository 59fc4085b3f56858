"""Operators' routing policies, written in Starlark."""
