"""What is seen of a running gateway: structured lines, and what it uses itself."""
