"""A router for language-model engines split into prefill and decode pools."""

__version__ = "0.1.0"
