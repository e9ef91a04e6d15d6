"""What dbd4a08 wrote is read by this version, and this version writes what dbd4a08 reads."""
