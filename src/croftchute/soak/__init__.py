"""A randomized fault soak: real boxes as processes, stand-ins around them, faults from outside."""
