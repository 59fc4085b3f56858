"""The HTTP surface that callers use."""
