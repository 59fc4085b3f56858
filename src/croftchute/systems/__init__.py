"""Decision logic: code without I/O that reads tables and returns typed commands."""
