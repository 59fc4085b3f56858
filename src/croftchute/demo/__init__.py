"""The embedded demonstration: a small fleet with stand-ins in one process."""
