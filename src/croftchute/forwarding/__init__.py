"""The forwarding core: takes a caller's request as bytes with typed facts, and has it answered."""
