"""What several test files use: drivers, stand-ins and runners."""
