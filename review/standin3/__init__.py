"""Stand-ins of the platform, of workers and of clients, for the cases of review 3."""
