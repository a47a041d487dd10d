"""Case 1: after replacements of core machines, a router goes on with an old configuration."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from stand_ins import (  # noqa: E402
    CONTROL_PORT, FRONTEND_PORT, LIMITS, LINK_PORT, CannotRun, Endpoint, Operator, Platform, connect, is_ready, main,
    rendezvous_order, route, send, service, wait_until,
)

REPLACEMENTS = 6
EMPTY_AFTER_S = 2.0  # replace_core: x = 2.0
CATCH_UP_S = 4.0
SEED_LAG_S = 3.0
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
REQUESTS = 20


def names(platform, controllers, gone):
    """The first five names of machines whose agents prefer four addresses that will be gone, and the first other one.

    One name in eight is of the first kind.
    """
    concerned, other, number = [], None, 0
    while len(concerned) < 5 or other is None:
        number += 1
        name = f"edge-walvis-harbour-{number}"
        order = rendezvous_order(name, controllers)
        if set(order[:4]) <= set(gone):
            concerned.append(name)
        elif other is None:
            other = name
    return concerned[:5] + [other]


def case(record, trouble):
    platform = Platform(record)
    ips = [platform.ip(1 + number) for number in range(3 + REPLACEMENTS)]
    in_service = ips[:3]
    listed = list(in_service)  # the operator's list, which lags by SeedLagS
    edges = {}
    for number, name in enumerate(names(platform, ips, ips[:REPLACEMENTS])):
        edges[name] = platform.ip(21 + number)
        record(f"agent of {name} prefers {rendezvous_order(name, ips)}")
    for ip in in_service:
        platform.start("controller", "core-" + ip, ip, listed, True)
    for name, ip in edges.items():
        platform.start("agent", name, ip, listed, True)
        platform.start("router", name, ip, listed, True)
    operator = Operator(platform, in_service)
    old = [Endpoint(platform, in_service, 101 + number, "huvo11a", f"i-old{number}") for number in range(2)]
    new = [Endpoint(platform, in_service, 111 + number, "wuno96b", f"i-new{number}") for number in range(2)]
    first = {"Version": 5, "Routes": [route("r-x73d3zj", "/lohu930/", "huvo11a")],
             "Backends": [service("huvo11a"), service("wuno96b")], "Limits": LIMITS}
    if operator.change("PUT", 0, first) != 200:
        raise CannotRun("the first configuration was refused")
    wait_until(lambda: all(is_ready(ip) for ip in edges.values()), 15, "not every router became ready")
    for number, ip in enumerate(edges.values()):
        if send(record, ip, f"before-{number}", "/lohu930/2f") != 200:
            raise CannotRun("a request was not served before the disruption")

    for step in range(REPLACEMENTS if trouble else 0):
        lost, joining = ips[step], ips[3 + step]
        in_service.remove(lost)
        platform.kill("controller", "core-" + lost)
        platform.fall_silent(lost, [LINK_PORT, CONTROL_PORT])
        time.sleep(EMPTY_AFTER_S)
        platform.start("controller", "core-" + joining, joining, listed, False)
        started = time.monotonic()
        in_service.append(joining)

        def joined():
            status = operator.status(joining)
            return status is not None and all(
                shard["Replica"] == "Member" and shard["Contact"] for shard in status["Shards"])

        wait_until(joined, 15, f"{joining} did not join the groups")
        record(f"{joining} is a member of all groups")
        time.sleep(max(0.0, CATCH_UP_S - (time.monotonic() - started)))
        # The settings files follow the operator's list.
        time.sleep(max(0.0, SEED_LAG_S + 0.5 - (time.monotonic() - started)))
        listed = list(in_service)
        for name, ip in edges.items():
            platform.write_settings("agent", name, ip, listed, False)
            platform.write_settings("router", name, ip, listed, False)

    # The core is calm for ContactMs, and twice that, before the change.
    time.sleep(2 * CONTACT_S)
    for ip in in_service:
        status = operator.status(ip)
        if not (status and status["Quorum"] and status["Current"]):
            raise CannotRun(f"{ip} is not in service")
    if len(platform.running()) != 3 + 2 * len(edges):
        raise CannotRun("a process has ended")
    record(f"processes running: {platform.running()}")
    for ip in edges.values():
        for controller in in_service:
            connect(controller, CONTROL_PORT, ip)
            connect(controller, LINK_PORT, ip)
            connect(ip, FRONTEND_PORT, controller)
    record("every edge machine has a path in both directions to every core machine in service")
    change = {"Version": 9, "Upsert": {"Routes": [route("r-x73d3zj", "/lohu930/", "wuno96b")]}}
    if operator.change("PATCH", 5, change) != 200:
        raise CannotRun("the change was refused")
    time.sleep(CONFIG_APPLY_S + 0.5)
    late = {}
    for turn in range(REQUESTS):
        for name, ip in edges.items():
            attempt = f"after-{name}-{turn}"
            send(record, ip, attempt, "/lohu930/2f")
            if any(attempt in endpoint.runs for endpoint in old):
                late[name] = late.get(name, 0) + 1
        time.sleep(0.2)
    served = sum(len([run for run in endpoint.runs if run.startswith("after")]) for endpoint in new)
    record(f"sent after the change: {REQUESTS} by each of {len(edges)} routers; run by the new service: {served}")
    for name, count in late.items():
        record(f"{name}: {count} of {REQUESTS} requests, sent over {CONFIG_APPLY_S} s after the acknowledgement, "
               "were run by the old service")
    if not late and served < REQUESTS * len(edges):
        raise CannotRun("requests after the change were not served")
    return not late


main(case, FOLDER)
