"""Stand-ins for the platform and backend servers, the demo and the bench."""
