"""A gateway process among thousands of stand-in servers, checked from outside against the gateway's rules."""
