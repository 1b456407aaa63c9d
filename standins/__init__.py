"""Stand-ins for model engines, plain services and the cloud API, and a demo."""
