"""One real gateway process among thousands of stand-in servers, and the rules checked from outside."""
