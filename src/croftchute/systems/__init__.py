"""The decisions: pure code that reads tables and returns typed commands."""
