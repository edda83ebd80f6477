"""Specification of the core protocol, for exhaustive model checking.

Its transitions call the product's own folds, so the two can't diverge.
"""
