"""Reads the configuration file that the platform writes for a gateway."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from lotusstream.deployment import Deployment, SettingsError, read_settings
from lotusstream.net.connection import Address
from lotusstream.net.errors import NetError
from lotusstream.protocol import discovery

SEED_COUNT = 2**64  # the seed in the configuration file is taken modulo this number


class ConfigurationError(NetError):
    """The configuration is invalid. The message is one line that names the fault."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """The contents of the configuration file."""

    name: str  # this gateway's name
    listen: Address  # address on which clients connect
    discovery_address: Address
    cores: float  # CPU cores that the gateway may use
    descriptors: int  # most file descriptors that the gateway may have open
    memory: int  # memory that the gateway may use, bytes
    deployment: Deployment
    initial_events: discovery.WatchEvents  # the endpoint list as known when the file was written


def read_configuration(text: str) -> Configuration:
    """Parses the text of a configuration file. Raises ConfigurationError."""
    try:
        return _read(json.loads(text))
    except KeyError as error:
        raise ConfigurationError(f"configuration: {error} is missing") from error
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        raise ConfigurationError(f"configuration: {error}") from error
    except (SettingsError, discovery.DiscoveryFormatError) as error:
        raise ConfigurationError(f"configuration: {error}") from error


def _read(raw: dict[str, Any]) -> Configuration:
    listen = discovery.parse_endpoint(raw["listen"])
    discovery_address = discovery.parse_endpoint(raw["board"])
    if listen is None or discovery_address is None:
        raise ConfigurationError("configuration: 'listen' and 'board' must be host:port with an IPv4 address")
    seed = int(raw["seed"], 16) % SEED_COUNT
    deployment = read_settings(seed, raw["settings"])
    if not deployment.profiles:
        raise ConfigurationError("configuration: no profile in 'settings', expected at least one")
    return Configuration(
        name=str(raw["name"]),
        listen=listen,
        discovery_address=discovery_address,
        cores=float(raw["limits"].get("cores", 1.0)),
        descriptors=int(raw["limits"]["sockets"]),
        memory=int(raw["limits"]["memory_mb"]) << 20,
        deployment=deployment,
        initial_events=discovery.decode_watch_events(raw["known"], deployment),
    )
