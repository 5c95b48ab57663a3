"""What is kept on disk so that it survives a crash."""
