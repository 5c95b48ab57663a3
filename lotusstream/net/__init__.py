"""The gateway's network side: actors report events to the decision module and carry out its actions."""
