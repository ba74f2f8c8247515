"""A stream of software that has left goes on at the newer one after a restart of all VMs."""

import os
import sys
import threading
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins"))
from callers import Channel
from engines import Engine
from rig import NotRun, Rig, ZONES, read_head, respond, run_case

HOST = "chat.example"
SERVICE = "desk"
CHANGE_S, DRAIN_S, DOWN_S = 1.0, 3.2, 1.0
EVENTS, EVENT_S = 60, 0.1
STREAMS = 20


class Desk(Engine):
    """A model server that names its software in each event, and goes on after `Last-Event-Id`."""

    def __init__(self, rig, number, software):
        self.software, self.state = software, "ready"
        super().__init__(rig, number, SERVICE, ZONES[number % 3], {"m0": 1})

    def entry(self):
        return {**super().entry(), "version": self.software, "state": self.state}

    def run(self, request, connection):
        version = self.models["m0"]
        if request.headers.get("expect-version", str(version)) != str(version):
            return respond(connection, 421, [("Instance-Id", self.id), ("Request-Id", request.id)])
        after = int(request.headers.get("last-event-id", 0))
        self.rig.record(f"server {self.id} of {self.service} ({self.software}) runs "
                        f"{request.id} after event {after}")
        with self.lock:
            self.running += 1
        try:
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                    f"Request-Id: {request.id}", f"Response-Seal: s.{request.id}",
                    f"Weight-Versions: {version}", "Transfer-Encoding: chunked",
                    "%s: %s" % self.load_header()]
            connection.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
            for number in range(after + 1, EVENTS + 1):
                data = f"{self.service} {self.software} token {number}"
                event = f"id: {number}\ndata: {data}\n\n".encode()
                connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                time.sleep(EVENT_S)
            connection.sendall(b"0\r\n\r\n")
        finally:
            with self.lock:
                self.running -= 1


def config():
    engine = {"slots": 16, "kvCapacityTokens": 100000, "kvTokenBytes": 163840,
              "linkMbps": 280000.0, "moves": False, "backups": False, "stride": 4,
              "maxInflight": 12, "models": [{"name": "m0"}]}
    return {"version": 1, "routes": [
        {"name": "chat", "host": HOST, "pathPrefix": "/chat/", "kind": "streaming",
         "timeoutMs": 15000, "targetLatencyMs": 800, "priority": 0,
         "service": SERVICE,
         "maxAttempts": 2, "anonymous": False, "sessionAffinity": True, "resumable": True,
         "gapAimMs": 600}],
        "services": [{"name": SERVICE, "healthCheck": "/health", "maxConnections": 290,
                      "protocol": "h1", "tls": False, "engine": engine}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000}}


class Reader(threading.Thread):
    """A caller that reads one stream, and resumes it at another entry after a broken channel."""

    def __init__(self, rig, number, first, others):
        super().__init__(daemon=True)
        self.rig, self.number = rig, number
        self.entries = [first] + others * 12
        self.session = uuid.uuid4().hex[:8]
        # The answers: the status, and the events of each.
        self.answers = []
        self.whole = False

    def run(self):
        for entry in self.entries:
            events = [event for _, part in self.answers for event in part]
            after = events[-1][0] if events else None
            request = f"stream-{self.number}-{len(self.answers)}-{uuid.uuid4().hex[:6]}"
            status, part = None, []
            self.answers.append((None, part))
            try:
                status = self.ask(entry, request, after, part)
            except OSError as error:
                self.rig.record(f"caller {request}: {error}")
            self.answers[-1] = (status, part)
            self.rig.record(f"caller at {entry} {request} after event {after}: {status}, events "
                            f"{part[0] if part else None} to {part[-1] if part else None}, "
                            f"{'whole' if self.whole else 'broken off'}")
            if self.whole:
                return
            time.sleep(0.5 if status in (None, 200) else 1.0)

    def ask(self, entry, request, after, part):
        channel = Channel(entry)
        headers = [("Host", HOST), ("Request-Id", request), ("Deadline-Ms", "15000"),
                   ("Model", "m0"), ("Token-Usage", "400,60"),
                   ("Prompt-Prefix", f"5c1e07a2:300,{self.session}:100")]
        if after is not None:
            headers.append(("Last-Event-Id", str(after)))
        channel.send("POST", f"/chat/{self.session}", headers, b"prompt")
        head = read_head(channel.stream)
        if head is None:
            return None
        status = int(head[0].split(" ")[1])
        if status != 200:
            return status
        text = b""
        while True:
            line = channel.stream.readline()
            if not line.endswith(b"\n"):
                return status
            size = int(line, 16)
            if size == 0:
                self.whole = True
                return status
            data = channel.stream.read(size)
            channel.stream.readline()
            if len(data) < size:
                return status
            text += data
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                fields = dict(line.split(": ", 1) for line in event.decode().splitlines())
                part.append((int(fields["id"]), fields["data"]))

    def texts(self):
        return {data.split(" token ")[0] for status, part in self.answers for _, data in part}


def case(folder, trouble):
    rig = Rig(folder, entries=3)
    try:
        old = [Desk(rig, number, "v1") for number in range(3)]
        rig.servers.extend(old)
        rig.start_all()
        rig.put_config(config())
        rig.wait_ready()
        time.sleep(2.0)
        readers = [Reader(rig, number, rig.entries[number % 3], [rig.entries[(number + 1) % 3]])
                   for number in range(STREAMS)]
        for reader in readers:
            reader.start()
        time.sleep(0.5)
        # The servers are replaced by those of a newer version.
        rig.servers.extend(Desk(rig, 3 + number, "v2") for number in range(3))
        rig.record("servers of version v2 are listed")
        time.sleep(CHANGE_S)
        for server in old:
            server.state = "draining"
        rig.record("servers of version v1 are listed as draining")
        time.sleep(DRAIN_S)
        if trouble:
            addresses = rig.control + rig.entries
            for address in addresses:
                rig.kill(address)
            rig.servers[:] = [server for server in rig.servers if server not in old]
            time.sleep(DOWN_S)
            for address in addresses:
                rig.start(address, bootstrap=False)
            rig.wait_ready()
            rig.record("all entries are ready again")
        for reader in readers:
            reader.join(timeout=40.0)
        whole = [reader for reader in readers if reader.whole]
        joined = [reader for reader in whole if len(reader.texts()) > 1]
        for reader in joined:
            rig.record(f"stream {reader.number} ended as complete, its text is joined from "
                       f"{' and '.join(sorted(reader.texts()))}")
        text = (f"{len(joined)} of {len(whole)} streams that ended as complete are joined from two "
                f"versions")
        rig.record(text)
        print(text)
        return 1 if joined else 0
    finally:
        rig.stop()


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), case)
