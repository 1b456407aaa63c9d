"""The control process: a replica of the log, its state machine and leader duties."""
