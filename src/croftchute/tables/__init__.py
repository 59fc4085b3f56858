"""Frozen rows for the things the router knows about, and the table that holds them."""
