"""Demonstrations, process-level fault runs and measurements."""
