"""Once new weights of one model are named, the other models of its servers aren't served."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins"))
from callers import Caller
from engines import Engine
from rig import NotRun, Rig, Server, ZONES, run_case

HOST = "chat.example"
NAMED_AFTER_S, TRAFFIC_S = 2.0, 90.0


def route(name, prefix):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": "streaming",
            "timeoutMs": 4000, "targetLatencyMs": 600, "priority": 0, "service": "llm",
            "maxAttempts": 2, "anonymous": False, "sessionAffinity": True, "resumable": True,
            "gapAimMs": 600}


def lookup_route():
    return {"name": "lookup", "host": HOST, "pathPrefix": "/lookup/", "kind": "safe",
            "timeoutMs": 2000, "targetLatencyMs": 300, "priority": 2, "service": "app",
            "maxAttempts": 2, "anonymous": False, "sessionAffinity": False, "resumable": False}


def config(models):
    engine = {"slots": 16, "kvCapacityTokens": 100000, "kvTokenBytes": 163840,
              "linkMbps": 280000.0, "moves": False, "backups": False, "stride": 4,
              "maxInflight": 12, "models": [{"name": name} for name in models]}
    return {"version": 1, "routes": [route("chat", "/chat/"), route("review", "/review/"),
                                      lookup_route()],
            "services": [{"name": "app", "healthCheck": "/health", "maxConnections": 110,
                          "protocol": "h1", "tls": False},
                         {"name": "llm", "healthCheck": "/health", "maxConnections": 290,
                          "protocol": "h1", "tls": False, "engine": engine}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def served(callers):
    """The share of the requests that were served, and their number."""
    results = [status for caller in callers for _, status in caller.results]
    return sum(status == "200" for status in results) / max(len(results), 1), len(results)


def case(folder, trouble):
    rig = Rig(folder, entries=2)
    try:
        models = ["chat-small", "review-large"]
        rig.servers.extend(Engine(rig, number, "llm", ZONES[number % 3],
                                  {model: 1 for model in models}) for number in range(3))
        rig.servers.extend(Server(rig, number, "app", ZONES[number % 3]) for number in range(3, 6))
        rig.start_all()
        rig.put_config(config(models))
        rig.wait_ready()
        callers = {}
        # Four times as many chat requests as reviews.
        for path, model, gap_s in (("/chat/1", models[0], 0.1), ("/review/1", models[1], 0.4)):
            callers[model] = [
                Caller(rig, entry, "POST", path, HOST, gap_s=gap_s, name=f"{model}-", headers=[
                    ("Model", model), ("Token-Usage", "300,20"),
                    ("Prompt-Prefix", f"aa{number:02x}:200,bb{number:02x}:100")])
                for number, entry in enumerate(rig.entries * 2)]
        callers["lookup"] = [Caller(rig, entry, "GET", "/lookup/1", HOST, gap_s=0.2, name="lookup-")
                             for entry in rig.entries * 2]
        for caller in sum(callers.values(), []):
            caller.start()
        time.sleep(NAMED_AFTER_S)
        before = {kind: served(callers[kind]) for kind in callers}
        if trouble:
            rig.name_version(models[0], 2)
        time.sleep(TRAFFIC_S - NAMED_AFTER_S)
        # As the rule asks, all requests count, also those before the version was named.
        shares = {kind: served(callers[kind]) for kind in callers}
        for caller in sum(callers.values(), []):
            caller.ended.set()
        if not all(rig.is_running(address) for address in rig.children):
            raise NotRun("a process has ended")
        if min(share for share, _ in before.values()) < 0.9:
            raise NotRun("the requests were not served before")
        count = sum(number for _, number in shares.values())
        every = sum(share * number for share, number in shares.values()) / count
        starved = [kind for kind, (share, _) in shares.items() if share < every / 4]
        text = ", ".join(f"{kind} {share:.3f} of {number}" for kind, (share, number) in shares.items())
        text = f"served: {text}, all {every:.3f} of {count}; starved: {starved}"
        rig.record(text)
        print(text)
        return bool(starved)
    finally:
        rig.stop()


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), case)
