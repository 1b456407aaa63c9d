"""The control process: a replica of the log with its state machine and its duties."""
