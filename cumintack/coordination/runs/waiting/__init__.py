"""What waits for room: its order, its remaining work, and its run times."""
