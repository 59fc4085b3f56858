"""The platform's key-value service, behind a Protocol."""
