"""Translates the platform's protocols and records; makes no decisions."""
