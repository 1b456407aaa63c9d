"""The control process, which runs a replica of the log and the leader's tasks."""
