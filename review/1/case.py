"""After a restart of all VMs in a release no interrupted stream can be resumed."""

import os
import sys
import threading
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins"))
from callers import Channel
from engines import Engine
from rig import NotRun, Rig, ZONES, run_case

HOST, SERVICE = "chat.example", "desk"
STREAMS, SERVERS = 20, 6
# The release: two of six servers, one after the other.
REPLACED, GAP_S = 2, 1.0
KILLED_AFTER_S, DOWN_S = 3.0, 0.8
# Twice stableWindowMs after the start of all machines, calm ones are in touch.
IN_TOUCH_S = 6.0
BUDGET_S, AGAIN_S = 15.0, 1.0


class Desk(Engine):
    """A model server whose events name the version of its software."""

    events, event_s = 60, 0.1

    def __init__(self, rig, number, software):
        self.software, self.state = software, "ready"
        super().__init__(rig, number, SERVICE, ZONES[number % 3], {"m0": 1})

    def entry(self):
        return {**super().entry(), "version": self.software, "state": self.state}

    def event_text(self, number):
        return f"{self.software} token {number}"


def config():
    engine = {"slots": 16, "kvCapacityTokens": 100000, "kvTokenBytes": 163840,
              "linkMbps": 280000.0, "moves": False, "backups": False, "stride": 4,
              "maxInflight": 12, "models": [{"name": "m0"}]}
    return {"version": 1, "routes": [
        {"name": "chat", "host": HOST, "pathPrefix": "/chat/", "kind": "streaming",
         "timeoutMs": 15000, "targetLatencyMs": 800, "priority": 0, "service": SERVICE,
         "maxAttempts": 2, "anonymous": False, "sessionAffinity": True, "resumable": True,
         "gapAimMs": 600}],
        "services": [{"name": SERVICE, "healthCheck": "/health", "maxConnections": 290,
                      "protocol": "h1", "tls": False, "engine": engine}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000}}


class Reader(threading.Thread):
    """A caller that reads one stream and takes it up again after a broken channel or a refusal, on
    a new channel, within its time budget."""

    def __init__(self, rig, name, entries):
        super().__init__(daemon=True)
        self.rig, self.name, self.entries = rig, name, entries
        self.session = uuid.uuid4().hex[:8]
        # The events read, and the id of the attempt that brought the first one.
        self.events, self.first = [], None
        # For each attempt: when it was sent, after which event, its status and its events.
        self.attempts = []
        self.whole = False

    def run(self):
        end = time.monotonic() + BUDGET_S
        while not self.whole and time.monotonic() < end - 0.5:
            entry = self.entries[len(self.attempts) % len(self.entries)]
            request = f"{self.name}-{len(self.attempts)}-{uuid.uuid4().hex[:6]}"
            sent, after, read = time.monotonic(), len(self.events), len(self.events)
            status, wait_s = "closed", AGAIN_S
            try:
                status, retry_s = self.ask(entry, request, end - sent)
                wait_s = max(retry_s, AGAIN_S)
            except OSError as error:
                status = f"closed ({error})"
            if len(self.events) > read and self.first is None:
                self.first = request
            self.attempts.append((sent, after, status, len(self.events) - read))
            self.rig.record(f"caller at {entry} {request} after event {after}: {status}, "
                            f"{self.events[read:][:1]} to {self.events[-1:]}, "
                            f"{'whole' if self.whole else 'not whole'}")
            if not self.whole:
                time.sleep(wait_s)

    def ask(self, entry, request, time_left):
        channel = Channel(entry)
        headers = [("Host", HOST), ("Request-Id", request), ("Model", "m0"),
                   ("Deadline-Ms", str(int(time_left * 1000))), ("Token-Usage", "400,60"),
                   ("Prompt-Prefix", f"5c1e07a2:300,{self.session}:100")]
        if self.events:
            headers += [("Last-Event-Id", str(self.events[-1][0])), ("Resumes", self.first)]
        channel.send("POST", f"/chat/{self.session}", headers, b"prompt")
        text = b""

        def read(data):
            nonlocal text
            text += data
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                fields = dict(line.split(": ", 1) for line in event.decode().splitlines())
                self.events.append((int(fields["id"]), fields["data"]))
                self.first = self.first or request

        answer = channel.receive(read)
        channel.close()
        if answer is None:
            return "closed", 0.0
        self.whole = answer.status == 200 and not answer.closed
        return answer.status, float(answer.headers.get("retry-after", 0.0))


def case(folder, trouble):
    rig = Rig(folder, entries=3)
    try:
        old = [Desk(rig, number, "v1") for number in range(SERVERS)]
        rig.servers.extend(old)
        rig.start_all()
        rig.put_config(config())
        rig.wait_ready()
        time.sleep(2.0)
        readers = [Reader(rig, f"old{number}", rig.entries[number % 3:] + rig.entries[:number % 3])
                   for number in range(STREAMS)]
        started = time.monotonic()
        for reader in readers:
            reader.start()
        time.sleep(0.5)
        for number in range(REPLACED):
            # The new one starts first. The old one serves on while it is listed as draining.
            rig.servers.append(Desk(rig, SERVERS + number, "v2"))
            old[number].state = "draining"
            rig.record(f"server {rig.servers[-1].id} of v2 is listed, {old[number].id} of v1 drains")
            time.sleep(GAP_S)
        time.sleep(started + KILLED_AFTER_S - time.monotonic())
        if trouble:
            addresses = rig.control + rig.entries
            for address in addresses:
                rig.kill(address)
            time.sleep(DOWN_S)
            for address in addresses:
                rig.start(address, bootstrap=False)
        in_touch = time.monotonic() + IN_TOUCH_S
        time.sleep(IN_TOUCH_S)
        new = [Reader(rig, f"new{number}", rig.entries[number % 3:] + rig.entries[:number % 3])
               for number in range(STREAMS)]
        for reader in new:
            reader.start()
        for reader in readers + new:
            reader.join(timeout=BUDGET_S + 5.0)
        if not all(rig.is_running(address) for address in rig.children):
            raise NotRun("a process has ended")
        if any(reader.events and not reader.events[0][1].startswith("v1") for reader in readers):
            raise NotRun("a stream began on another version")
        taken_up = [[attempt for attempt in reader.attempts if attempt[0] > in_touch and attempt[1]]
                    for reader in readers]
        taken_up = [attempts for attempts in taken_up if attempts]
        on = sum(any(count for *_, count in attempts) for attempts in taken_up)
        began = sum(reader.attempts[0][3] > 0 for reader in new)
        text = (f"of {len(taken_up)} streams that callers took up again at machines in touch, {on} "
                f"went on, with {SERVERS - REPLACED} servers of their version ready; of {len(new)} "
                f"new ones {began} began; {sum(reader.whole for reader in readers)} of the "
                f"{STREAMS} first streams ended whole")
        rig.record(text)
        print(text)
        if began < len(new) / 2:
            raise NotRun("new streams don't begin")
        return len(taken_up) >= 12 and on / len(taken_up) < began / len(new) / 2
    finally:
        rig.stop()


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), case)
