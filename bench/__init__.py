"""Benchmarks of decision algorithms, data structures and real processes."""
