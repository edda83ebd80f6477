"""A randomized soak of real gateways under injected faults."""
