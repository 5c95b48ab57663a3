"""The gateway on sockets: actors that report facts and carry out the decision module's actions."""
