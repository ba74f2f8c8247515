"""A tenant that the desired state isolates goes on sharing the KV cache that it made before."""

import os
import sys
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins"))
from callers import Channel
from engines import Engine
from rig import NotRun, Rig, ZONES, run_case

HOST = "chat.example"
CONFIG_APPLY_S = 2.0
KEYS = {"orchard": "key-orchard", "meadow": "key-meadow"}
# A long shared part, and one of the session.
SHARED = "5c1e07a2:6300"


def config(version, isolated):
    engine = {"slots": 16, "kvCapacityTokens": 100000, "kvTokenBytes": 163840,
              "linkMbps": 280000.0, "moves": False, "backups": False, "stride": 4,
              "maxInflight": 12, "models": [{"name": "m0"}]}
    return {"version": version, "routes": [
        {"name": "review", "host": HOST, "pathPrefix": "/review/", "kind": "streaming",
         "timeoutMs": 4000, "targetLatencyMs": 800, "priority": 0, "service": "llm",
         "maxAttempts": 2, "anonymous": False, "sessionAffinity": True, "resumable": True,
         "gapAimMs": 600}],
        "services": [{"name": "llm", "healthCheck": "/health", "maxConnections": 290,
                      "protocol": "h1", "tls": False, "engine": engine}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": name, "apiKeys": [key], "priority": 1, "isolated": name in isolated}
                    for name, key in KEYS.items()]}


def ask(rig, tenant):
    """Sends a request of a tenant to each entry; returns the statuses."""
    statuses = []
    for entry in rig.entries:
        request = f"{tenant}-{uuid.uuid4().hex[:8]}"
        channel = Channel(entry)
        channel.send("POST", "/review/1", [
            ("Host", HOST), ("Request-Id", request), ("Deadline-Ms", "4000"), ("Model", "m0"),
            ("Token-Usage", "6400,20"), ("Prompt-Prefix", f"{SHARED},{uuid.uuid4().hex[:8]}:100"),
            ("Authorization", f"Token {KEYS[tenant]}")], b"prompt")
        answer = channel.receive()
        channel.close()
        statuses.append(answer.status if answer else None)
        rig.record(f"caller of tenant {tenant} at {entry} {request}: {statuses[-1]}")
    return statuses


def case(folder, trouble):
    rig = Rig(folder, entries=2)
    try:
        rig.servers.extend(Engine(rig, number, "llm", ZONES[number % 3], {"m0": 1})
                           for number in range(3))
        rig.start_all()
        rig.put_config(config(1, isolated=[]))
        rig.wait_ready()
        statuses = [status for _ in range(4) for status in ask(rig, "orchard")]
        # The only difference between the two desired states is that `orchard` is isolated.
        rig.put_config(config(2, isolated=["orchard"] if trouble else []))
        time.sleep(CONFIG_APPLY_S + 1.0)
        since = {server.id: len(server.uses) for server in rig.servers}
        statuses += [status for _ in range(4) for status in ask(rig, "meadow")]
        if set(statuses) != {200}:
            raise NotRun(f"not all requests were served: {statuses}")
        uses = [use for server in rig.servers for use in server.uses[since[server.id]:]]
        foreign = [use for use in uses if use[1] == "meadow" and use[2] == "orchard"]
        text = (f"{len(foreign)} requests of tenant meadow used KV cache that requests of tenant "
                f"orchard made; orchard is {'' if trouble else 'not '}isolated")
        rig.record(text)
        print(text)
        # Without the change no tenant is isolated, and parts may be shared.
        return trouble and bool(foreign)
    finally:
        rig.stop()


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), case)
