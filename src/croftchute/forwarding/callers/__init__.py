"""Handling of callers' requests, from arrival to the code that serves each kind."""
