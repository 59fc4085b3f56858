"""What faces the store and follows what it tells: lists, relays, records, leases."""
