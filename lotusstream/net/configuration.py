"""What the platform tells a gateway: the configuration file."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from lotusstream.deployment import Deployment, SettingsError, read_settings
from lotusstream.net.connection import Address
from lotusstream.protocol import discovery


class ConfigurationError(Exception):
    """One line that says what is wrong."""


@dataclass(frozen=True, slots=True)
class Configuration:
    name: str
    listen: Address
    discovery_address: Address
    cores: float
    descriptors: int
    memory: int
    deployment: Deployment
    initial_events: discovery.WatchEvents


def read_configuration(text: str) -> Configuration:
    try:
        raw: dict[str, Any] = json.loads(text)
        listen, board = (discovery.parse_endpoint(raw[name]) for name in ("listen", "board"))
        if listen is None or board is None:
            raise ConfigurationError("configuration: 'listen' and 'board' are to be host:port")
        deployment = read_settings(int(raw["seed"], 16) % 2**64, raw["settings"])
        if not deployment.profiles:
            raise ConfigurationError("configuration: no profile in the settings")
        return Configuration(
            name=str(raw["name"]),
            listen=listen,
            discovery_address=board,
            cores=float(raw["limits"].get("cores", 1.0)),
            descriptors=int(raw["limits"]["sockets"]),
            memory=int(raw["limits"]["memory_mb"]) << 20,
            deployment=deployment,
            initial_events=discovery.decode_watch_events(raw["known"], deployment),
        )
    except KeyError as error:
        raise ConfigurationError(f"configuration: {error} is missing") from error
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        raise ConfigurationError(f"configuration: {error}") from error
    except (SettingsError, discovery.DiscoveryFormatError) as error:
        raise ConfigurationError(f"configuration: {error}") from error
