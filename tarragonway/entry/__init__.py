"""The entry process: receives callers' requests and returns endpoints' answers."""
