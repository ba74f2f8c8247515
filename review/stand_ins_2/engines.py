"""A model server: it reads prompts one after the other at the sheet's speed, makes the tokens of up to
`slots` requests beside each other, lets a few more wait, and rejects the rest as not executed."""

import json
import threading
import time

import rig as stand_ins

MODEL = "daka510000"
# The sheet of swiftline-kochi-grown: 32.4 prompt tokens are read in a ms; an event takes some steps of 6.12 ms.
READ_TOKENS_PER_S = 32_400
EVENT_S = 0.06
SLOTS, QUEUE = 24, 72


class EngineServer(stand_ins.AppServer):
    def __init__(self, rig, name, ip):
        super().__init__(rig, name, ip, None)
        self.reading, self.admitted = threading.Lock(), 0
        self.slots = threading.Semaphore(SLOTS)

    def load(self):
        return "%d,%d,%d" % (min(self.admitted, SLOTS), max(0, self.admitted - SLOTS), SLOTS)

    def respond(self, channel, first, headers, body):
        _, path, _ = first.split(" ", 2)
        if path == "/health":
            return self.send(channel, "200 OK", [("Instance-Id", self.name)], b"")
        if path == "/v1/report":
            return self.report(channel)
        if not headers.get("request-id"):
            return self.send(channel, "400 Bad Request", [("Not-Executed", "1")], b"")
        echo = [("Request-Id", headers["request-id"])]
        if headers.get("expect-instance", self.name) != self.name:
            return self.send(channel, "421 Misdirected Request", echo, b"")
        if headers.get("expect-version", "1") != "1":
            return self.send(channel, "421 Misdirected Request", echo, b"")
        with self.lock:
            is_full = self.admitted >= SLOTS + QUEUE
            self.admitted += 0 if is_full else 1
        if is_full:
            return self.send(channel, "503 Service Unavailable",
                             echo + [("Not-Executed", "1")], b"")
        try:
            with self.slots:
                self.generate(channel, headers)
        finally:
            with self.lock:
                self.admitted -= 1

    def generate(self, channel, headers):
        request_id = headers["request-id"]
        prompt, output = (int(count) for count in headers["token-usage"].split(","))
        with self.reading:
            time.sleep(prompt / READ_TOKENS_PER_S)
        self.rig.note_run(request_id, self.name, headers)
        head = ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nWeight-Versions: 1\r\n"
                "Server-Load: %s\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" % (request_id, request_id, self.load()))
        channel.sendall(head.encode())
        for number in range(1, output + 1):
            event = b"id: %d\ndata: token\n\n" % number
            channel.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(EVENT_S)
        channel.sendall(b"0\r\n\r\n")

    def report(self, channel):
        body = json.dumps({
            "stage": "colocated", "models": [{"name": MODEL, "version": 1, "adapters": []}],
            "busy": False, "seq": 0, "waiting": 0, "running": min(self.admitted, SLOTS),
            "kvUsed": 0, "kvTotal": 90000, "handles": 0, "state": "ready", "runs": [],
            "born": self.born}).encode()
        channel.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        b"Content-Length: %d\r\n\r\n" % len(body) + body)

    def entry(self, zone):
        return dict(super().entry(zone), service="llm", slots=SLOTS, stage="colocated",
                    models=[{"name": MODEL, "version": 1, "adapters": []}])


def add_engines(config):
    """Adds a service of engines, and a route to it, to a desired state."""
    config["routes"].append({
        "name": "r-chat", "host": stand_ins.HOST, "pathPrefix": "/chat/", "kind": "streaming",
        "timeoutMs": 15000, "targetLatencyMs": 600, "priority": 0, "service": "llm",
        "maxAttempts": 2, "anonymous": False, "sessionAffinity": True, "resumable": False,
        "gapAimMs": 500})
    config["services"].append({
        "name": "llm", "healthCheck": "/health", "maxConnections": 650, "protocol": "h1",
        "tls": False,
        "engine": {"slots": SLOTS, "kvCapacityTokens": 62129, "kvTokenBytes": 131072,
                   "linkMbps": 550000.0, "moves": True, "backups": True, "stride": 5,
                   "maxInflight": 8, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
                   "models": [{"name": MODEL}]}})
    return config
