"""Coordinator process: replicates the configuration and acts for the platform."""
