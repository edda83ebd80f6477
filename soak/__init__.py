"""Randomized soak test of real gateways under injected faults."""
