"""The daemon: one process, one box."""
