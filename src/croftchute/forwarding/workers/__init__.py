"""What faces workers: requests on their way, calls, what workers say of themselves, orders."""
