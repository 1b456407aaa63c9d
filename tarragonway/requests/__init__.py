"""Accepted requests: records, copies on peers, progress and adoption."""
