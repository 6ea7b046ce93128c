"""Stand-ins with the platform's wire format, for tests and the soak."""
