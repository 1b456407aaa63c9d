"""Randomized fault soak: real processes on loopback, faults from outside, promises."""
