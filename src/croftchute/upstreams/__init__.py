"""Engines and plain services, behind Protocols."""
