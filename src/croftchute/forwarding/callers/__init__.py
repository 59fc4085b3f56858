"""What faces callers: each request from its arrival to the way that serves it."""
