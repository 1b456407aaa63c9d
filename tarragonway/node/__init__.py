"""What gateways and coordinators have in common: settings, start and stop."""
