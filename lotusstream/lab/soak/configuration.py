"""The configuration files of the gateways of a soak run."""

from __future__ import annotations

from lotusstream.lab.soak.plan import SoakPlan
from lotusstream.lab.stand_ins import StandInDiscovery

MS, S = 1_000, 1_000_000  # microseconds
# Settings of the gateways, seconds.
DRAIN_GRACE, WARM_UP, OVERLOAD_FOR = 2.0, 10.0, 1.0
CONNECT_TIMEOUT, CONN_IDLE = 0.25, 6.0


def gateway_configuration(
    plan: SoakPlan, discovery: StandInDiscovery, name: str, port: int, number: int
) -> dict[str, object]:
    """Returns the configuration of one gateway.

    :param port: port to listen on; 0: any free one.
    :param number: distinguishes the seeds of the gateways of one plan.
    """
    classes = [
        {
            "name": each.name,
            "aim": int(each.deadline * S / 2),
            "deadline": int(each.deadline * S),
            "effect": each.effect,
            "gain": 1.0,
            "group": "all",
            "window": int(each.window * S),
        }
        for each in plan.classes
    ]
    return {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "seed": f"{plan.seed * 1000 + number:016x}",
        "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": 512},
        "board": f"127.0.0.1:{discovery.port}",
        "known": discovery.full_state(),
        "settings": {
            "flavors": ["std"],
            "zones": ["here"],
            "n_instances": plan.gateways,
            "period": 1000,
            "limits": {
                "cancelling": True,
                "second_copies": bool(plan.seed % 2),
                "conn_idle": int(CONN_IDLE * S),
                "max_attempts": 4,
                "connect_timeout": int(CONNECT_TIMEOUT * S),
                "max_open": 20000,
                "retry_after": True,
                "max_retry_after": 500 * MS,
            },
            "rules": {
                "cold_from": plan.cold_from,
                "warm_up": int(WARM_UP * S),
                "fall_multiple": plan.fall_multiple,
                "overload_for": int(OVERLOAD_FOR * S),
                "drain_grace": int(DRAIN_GRACE * S),
            },
            "specifics": {
                "cpu_of_kind": [plan.cores],
                "threads_by_class": [1] * len(classes),
                "writes_tables": [each.loads for each in plan.classes],
                "class_waits": [not each.loads for each in plan.classes],
                "ranks_heeded": True,
            },
            "request_classes": classes,
        },
    }
