"""Soak test: injects random faults into real processes and checks the guarantees."""
