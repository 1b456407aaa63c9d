"""The process between callers and endpoints on a platform with its own interface."""
