"""Specifications of the core protocols for exhaustive model checking."""
