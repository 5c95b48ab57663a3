"""The simulation adapter: hosts many isolated gateways and speaks the simulator's wire protocol."""
