"""Health checks: one gateway checks all endpoints and the others evaluate its reports. No I/O."""
