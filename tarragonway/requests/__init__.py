"""Accepted requests: their record, copies at peers, progress and adoption."""
