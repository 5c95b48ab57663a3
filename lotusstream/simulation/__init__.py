"""The bench adapter: speaks the simulator's wire and hosts many isolated gateways."""
