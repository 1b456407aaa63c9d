"""The process that agrees on the configuration and holds the duties."""
