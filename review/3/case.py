"""A burst of uploads within the configured limit drives entries over their memory limit."""

import os
import sys
import threading
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins"))
from callers import Channel
from rig import NotRun, Rig, Server, ZONES, run_case

HOST = "booking.example"
BODY_BYTES = 4_194_304
MEMORY_MB = 110
# Callers at each entry that upload at the same time, and in a burst of 1.7 times the traffic.
USUAL, BURST = 14, 24
BURSTS, BURST_S, PAUSE_S = 3, 3.0, 6.0
RESTART_S = 0.3


def config():
    return {"version": 1, "routes": [
        {"name": "booking", "host": HOST, "pathPrefix": "/booking/", "kind": "unsafe",
         "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 2, "service": "app",
         "maxAttempts": 1, "anonymous": False, "sessionAffinity": False, "resumable": False}],
        "services": [{"name": "app", "healthCheck": "/health", "maxConnections": 110,
                      "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": BODY_BYTES, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000}}


class Uploader(threading.Thread):
    """Sends requests of the largest allowed size, one after the other, each on a new channel."""

    body = bytes(BODY_BYTES)

    def __init__(self, rig, entry, results):
        super().__init__(daemon=True)
        self.rig, self.entry, self.results = rig, entry, results
        self.ended = threading.Event()

    def run(self):
        while not self.ended.is_set():
            request = uuid.uuid4().hex[:12]
            try:
                channel = Channel(self.entry)
                channel.send("POST", "/booking/1", [("Host", HOST), ("Request-Id", request),
                                                    ("Deadline-Ms", "4000")], self.body)
                answer = channel.receive()
                status = str(answer.status) if answer else "closed"
                channel.close()
            except OSError:
                status = "closed"
            self.results.append(status)
            self.rig.record(f"caller at {self.entry} {request} ({BODY_BYTES} bytes): {status}")
            if status == "closed":
                time.sleep(0.2)


class Platform(threading.Thread):
    """Kills an entry that uses more memory than its limit, and starts it again."""

    def __init__(self, rig):
        super().__init__(daemon=True)
        self.rig = rig
        self.kills = {entry: 0 for entry in rig.entries}
        self.peaks = {entry: 0.0 for entry in rig.entries}
        self.crashes = 0
        self.ended = threading.Event()

    def run(self):
        while not self.ended.wait(0.003):
            for entry in self.rig.entries:
                used = self.rig.memory(entry)
                self.peaks[entry] = max(self.peaks[entry], used)
                if used > MEMORY_MB:
                    self.kills[entry] += 1
                    self.rig.record(f"entry {entry} uses {used:.0f} MB of {MEMORY_MB} MB")
                    self.rig.kill(entry)
                    threading.Timer(RESTART_S, self.rig.start, (entry, False)).start()
                    self.ended.wait(RESTART_S)


def case(folder, trouble):
    rig = Rig(folder, entries=2, memory_mb=MEMORY_MB)
    try:
        rig.servers.extend(Server(rig, number, "app", ZONES[number % 3], work_s=0.06)
                           for number in range(3))
        rig.start_all()
        rig.put_config(config())
        rig.wait_ready()
        platform = Platform(rig)
        platform.start()
        results = []
        usual = [Uploader(rig, entry, results) for entry in rig.entries for _ in range(USUAL)]
        for caller in usual:
            caller.start()
        time.sleep(5.0)
        for _ in range(BURSTS):
            more = BURST - USUAL if trouble else 0
            rig.record(f"burst: {more} more callers at each entry for {BURST_S} s")
            callers = [Uploader(rig, entry, results) for entry in rig.entries for _ in range(more)]
            for caller in callers:
                caller.start()
            time.sleep(BURST_S)
            for caller in callers:
                caller.ended.set()
            time.sleep(PAUSE_S)
        for caller in usual:
            caller.ended.set()
        platform.ended.set()
        platform.join()
        time.sleep(RESTART_S + 0.2)
        ended = [entry for entry, kills in platform.kills.items() if kills >= 3]
        closed = results.count("closed")
        text = (f"over the memory limit: {platform.kills}; most memory: "
                f"{ {entry: round(peak) for entry, peak in platform.peaks.items()} } MB; "
                f"{closed} of {len(results)} requests ended without an answer")
        rig.record(text)
        print(text)
        if not all(rig.is_running(address) for address in rig.control):
            raise NotRun("a control VM has ended")
        # A tenth of the machines in use, two at least.
        return 1 if len(ended) >= 2 else 0
    finally:
        rig.stop()


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), case)
