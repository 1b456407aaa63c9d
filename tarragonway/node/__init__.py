"""Settings, start-up and metrics that gateways and coordinators share."""
