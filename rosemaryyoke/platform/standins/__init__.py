"""Stand-ins that speak the platform's form, for tests and the soak."""
