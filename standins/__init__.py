"""Stand-ins for the platform and backend servers; demo and benchmarks."""
