"""Once new weights of one model are named, requests for another model of the same servers get no answer."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins"))
from callers import Caller
from engines import Engine
from rig import NotRun, Rig, Server, ZONES, run_case

HOST = "chat.example"
VERSION_S = 8.0
JUDGED_S = 10.0


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


def served(callers, since):
    """The share of the requests sent since then that were served, and their number."""
    results = [status for caller in callers for _, sent, status in caller.results if sent > since]
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
        for path, model, gap_s in (("/chat/1", models[0], 0.05), ("/review/1", models[1], 0.4)):
            callers[model] = [
                Caller(rig, entry, "POST", path, HOST, gap_s=gap_s, name=f"{model}-", headers=[
                    ("Model", model), ("Token-Usage", "300,20"),
                    ("Prompt-Prefix", f"aa{number:02x}:200,bb{number:02x}:100")])
                for number, entry in enumerate(rig.entries * 2)]
        callers["lookup"] = [Caller(rig, entry, "GET", "/lookup/1", HOST, gap_s=0.2, name="lookup-")
                             for entry in rig.entries * 2]
        for caller in sum(callers.values(), []):
            caller.start()
        time.sleep(4.0)
        before = {kind: served(callers[kind], 0.0) for kind in callers}
        if trouble:
            rig.operator_call("POST", "/v1/version-put",
                              '{"model": "%s", "version": 2}' % models[0])
        time.sleep(VERSION_S)
        since = time.monotonic()
        time.sleep(JUDGED_S)
        after = {kind: served(callers[kind], since) for kind in callers}
        for caller in sum(callers.values(), []):
            caller.ended.set()
        for kind in callers:
            text = (f"{kind}: {before[kind][0]:.3f} of {before[kind][1]} served before, "
                    f"{after[kind][0]:.3f} of {after[kind][1]} served afterwards")
            rig.record(text)
            print(text)
        if not all(rig.is_running(address) for address in rig.children):
            raise NotRun("a process has ended")
        if min(share for share, _ in before.values()) < 0.9:
            raise NotRun("the requests were not served before")
        count = sum(number for _, number in after.values())
        every = sum(share * number for share, number in after.values()) / count
        starved = [kind for kind, (share, _) in after.items() if share < every / 4]
        rig.record(f"{every:.3f} of all requests served; starved: {starved}")
        return 1 if starved else 0
    finally:
        rig.stop()


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), case)
