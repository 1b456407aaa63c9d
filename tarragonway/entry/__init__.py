"""The entry process: callers' requests in, endpoints' answers out."""
