"""Coordinator process, which replicates the configuration and manages endpoints."""
