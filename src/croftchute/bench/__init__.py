"""Seeded benchmarks in virtual time and measured slopes."""
