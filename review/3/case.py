"""Case 3: after a change that raises MaxHeaderBytes, kept connections refuse proper requests with 431."""

import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from stand_ins import (  # noqa: E402
    FRONTEND_PORT, LIMITS, CannotRun, Endpoint, Operator, Platform, is_ready, main, route, send, service, wait_until,
)

ROUTERS = 3
CLIENTS = 36
CONFIG_APPLY_S = 2.0
BEFORE, AFTER = 8192, 16384  # MaxHeaderBytes
PROMPT_PREFIX = ",".join(f"{number:08x}:410" for number in range(800))  # about 10 KB


def limits(header_bytes):
    return {**LIMITS, "MaxHeaderBytes": header_bytes}


def case(record, trouble):
    platform = Platform(record)
    controllers = [platform.ip(1 + number) for number in range(3)]
    edges = {f"edge-walvis-harbour-{number}": platform.ip(20 + number) for number in range(1, 1 + ROUTERS)}
    for ip in controllers:
        platform.start("controller", "core-" + ip, ip, controllers, True)
    for name, ip in edges.items():
        platform.start("agent", name, ip, controllers, True)
        platform.start("router", name, ip, controllers, True)
    operator = Operator(platform, controllers)
    for number in range(3):
        Endpoint(platform, controllers, 101 + number, "huvo11a", f"i-{number}")
    first = {"Version": 5, "Routes": [route("r-x73d3zj", "/lohu930/", "huvo11a")], "Backends": [service("huvo11a")],
             "Limits": limits(BEFORE if trouble else AFTER)}
    if operator.change("PUT", 0, first) != 200:
        raise CannotRun("the first configuration was refused")
    wait_until(lambda: all(is_ready(ip) for ip in edges.values()), 15, "not every router became ready")
    time.sleep(1.0)

    requests, denied, served = 0, 0, 0
    ips = list(edges.values())
    kept = []
    for number in range(CLIENTS):
        ip = ips[number % ROUTERS]
        connection = socket.create_connection((ip, FRONTEND_PORT), timeout=3.0)
        if send(record, ip, f"first-{number}", "/lohu930/2f", connection=connection) != 200:
            raise CannotRun("a request was not served before the disruption")
        requests += 1
        kept.append((ip, connection))
    if trouble:
        change = {"Version": 7, "Upsert": {"Limits": limits(AFTER)}}
        if operator.change("PATCH", 5, change) != 200:
            raise CannotRun("the change was refused")
    # Twice ConfigApplyMs; the kept connections are idle for less than four fifths of IdleTimeoutMs.
    time.sleep(2 * CONFIG_APPLY_S)
    for ip in ips:
        # The new version is in force at this router: a new connection is served.
        requests += 1
        if send(record, ip, f"new-{ip}", "/lohu930/2f", [("Prompt-Prefix", PROMPT_PREFIX)]) != 200:
            raise CannotRun("the new version is not in force")
    for number, (ip, connection) in enumerate(kept):
        requests += 1
        status = send(record, ip, f"second-{number}", "/lohu930/2f", [("Prompt-Prefix", PROMPT_PREFIX)], connection)
        connection.close()
        served += status == 200
        denied += isinstance(status, int) and 300 <= status < 500 and status not in (408, 421, 429)
    bound = 5 + requests / 500
    record(f"{denied} of {requests} requests were ended with a 4xx of the system's own; the bound is {bound:.2f}")
    if denied <= bound and served < CLIENTS:
        raise CannotRun("the requests on kept connections were not served")
    return denied <= bound


main(case, FOLDER)
