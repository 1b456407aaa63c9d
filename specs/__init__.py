"""Small specifications of the core protocols, for exhaustive exploration."""
