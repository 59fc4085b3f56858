"""Routing policies that operators write in Starlark."""
