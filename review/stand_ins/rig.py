"""Stand-ins for callers, backend servers and the platform, and the programs under test.

The programs are started with the commands of deploy/system.toml, each on a loopback address of its
own. Only the standard library of Python is used.
"""

import collections
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import uuid
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "oleandermount-platform")
ZONES = ["z1", "z2", "z3"]
# The list of servers shows what was so this long ago, and takes so many calls a second.
LAG_S, RATE_PER_S = 0.8, 47
# Requests that wait at a server beyond its slots.
QUEUE = 4
TIME_LIMIT_S = 115
# The exit code of a case whose rule was broken; run.sh turns it into 1, and all but 0 into 2.
BROKEN = 10


class NotRun(Exception):
    """The case could not run."""


def is_free(port):
    """Whether nothing listens at this port, at no address."""
    with socket.socket() as probe:
        try:
            probe.bind(("0.0.0.0", port))
            return True
        except OSError:
            return False


def free_ports():
    """Five ports, and the first of a range of 16, below those of outgoing connections."""
    for _ in range(200):
        first = random.randrange(12000, 30000)
        if all(is_free(port) for port in range(first, first + 21)):
            return range(first, first + 5), first + 5
    raise SystemExit(2)


(FRONT_PORT, READY_PORT, CONTROL_PORT, CLOUD_PORT, SERVER_PORT), INTERNAL_PORT = free_ports()


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
            self.file.flush()


def read_head(stream):
    """Reads the head of an HTTP message; returns its first line and its headers, or None at the end."""
    first = stream.readline(65536)
    if not first or not first.endswith(b"\n"):
        return None
    headers = {}
    while True:
        line = stream.readline(65536)
        if not line or not line.endswith(b"\n"):
            return None
        if line in (b"\r\n", b"\n"):
            return first.decode("latin-1").strip(), headers
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def read_body(stream, headers):
    """Reads the body of a request."""
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int(stream.readline().split(b";")[0], 16)
            parts.append(stream.read(size))
            stream.readline()
            if size == 0:
                return b"".join(parts)
    return stream.read(int(headers.get("content-length", 0)))


class Request:
    def __init__(self, first, headers, body):
        self.method, self.path, _ = first.split(" ", 2)
        self.headers, self.body = headers, body
        self.id = headers.get("request-id", "")


class Listener:
    """Accepts connections on one loopback address and calls `handle(request, socket)` for each request.

    `handle` returns False to end the connection.
    """

    def __init__(self, address):
        self.address = address
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(address)
        self.socket.listen(256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            while True:
                head = read_head(stream)
                if head is None:
                    return
                request = Request(head[0], head[1], read_body(stream, head[1]))
                if self.handle(request, connection) is False:
                    return
        except (OSError, ValueError):
            pass
        finally:
            stream.close()
            connection.close()


def respond(connection, status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def respond_json(connection, status, value):
    respond(connection, status, [("Content-Type", "application/json")], json.dumps(value).encode())


class Cloud(Listener):
    """The platform's list of servers. It lags, and takes a number of calls a second."""

    def __init__(self, address, servers):
        self.servers = servers
        self.history = collections.deque([(0.0, [])], maxlen=100)
        self.calls = collections.deque()
        self.lock = threading.Lock()
        threading.Thread(target=self.watch, daemon=True).start()
        super().__init__(address)

    def watch(self):
        while True:
            entries = [server.entry() for server in list(self.servers)]
            self.history.append((time.monotonic(), entries))
            time.sleep(0.05)

    def handle(self, request, connection):
        url = urlsplit(request.path)
        if url.path != "/instances":
            return respond(connection, 404)
        now = time.monotonic()
        with self.lock:
            while self.calls and self.calls[0] < now - 1.0:
                self.calls.popleft()
            if len(self.calls) >= RATE_PER_S:
                return respond(connection, 429)
            self.calls.append(now)
        shown = [entries for at, entries in list(self.history) if at <= now - LAG_S]
        zone = parse_qs(url.query).get("zone", [None])[0]
        entries = [entry for entry in (shown[-1] if shown else []) if zone in (None, entry["zone"])]
        respond_json(connection, 200, {"instances": entries, "nextPageToken": None})


class Server(Listener):
    """A backend server of a plain service. It answers after `work_s`."""

    def __init__(self, rig, number, service, zone, slots=6, work_s=0.03):
        self.id = f"i-{uuid.uuid4().hex[:8]}"
        self.rig, self.service, self.zone, self.slots, self.work_s = rig, service, zone, slots, work_s
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.running, self.waiting = 0, 0
        self.places = threading.Semaphore(slots)
        super().__init__((rig.address(100 + number), SERVER_PORT))

    def entry(self):
        return {"id": self.id, "service": self.service, "zone": self.zone, "version": "v1",
                "address": "%s:%d" % self.address, "slots": self.slots, "state": "ready",
                "coldRemainingMs": 0, "stage": "colocated", "models": [], "born": self.born}

    def load_header(self):
        return ("Server-Load", f"{self.running},{self.waiting},{self.slots}")

    def handle(self, request, connection):
        if request.path.startswith("/v1/"):
            self.rig.record(f"server {self.id} gets {request.method} {request.path}, unknown to it")
            return respond(connection, 404)
        if request.headers.get("expect-instance", self.id) != self.id:
            return respond(connection, 421, [("Instance-Id", self.id), ("Request-Id", request.id)])
        with self.lock:
            is_full = self.waiting >= QUEUE
            self.waiting += not is_full
        if is_full:
            return respond(connection, 503, [("Request-Id", request.id), ("Not-Executed", "1")])
        self.places.acquire()
        with self.lock:
            self.waiting -= 1
            self.running += 1
        try:
            if request.path == "/health":
                return respond(connection, 200, [("Instance-Id", self.id), self.load_header()])
            return self.run(request, connection)
        finally:
            with self.lock:
                self.running -= 1
            self.places.release()

    def run(self, request, connection):
        self.rig.record(f"server {self.id} runs {request.id} {request.method} {request.path}")
        time.sleep(self.work_s)
        body = f"done {request.id}".encode()
        respond(connection, 200, [("Request-Id", request.id), ("Response-Seal", "s." + request.id),
                                  self.load_header()], body)


class Rig:
    """The programs under test, one control VM in each zone, and their stand-ins."""

    def __init__(self, folder, entries=1, memory_mb=110, bounds=None):
        if not os.access(PROGRAM, os.X_OK):
            raise NotRun("the programs are not built")
        self.record = Record(os.path.join(folder, "record.txt"))
        self.base = self.free_base()
        self.children = {}
        self.lock = threading.Lock()
        self.stopped = False
        self.servers = []
        # The versions of models that the operator has named.
        self.named = {}
        self.memory_mb = memory_mb
        self.bounds = {"graceS": 8, "budgetSlack": 58, "requireFence": "true", **(bounds or {})}
        self.cloud = Cloud((self.address(250), CLOUD_PORT), self.servers)
        self.control = [self.address(1 + number) for number in range(3)]
        self.entries = [self.address(10 + number) for number in range(entries)]
        self.temporary = tempfile.mkdtemp(prefix="review-")

    @staticmethod
    def free_base():
        """A subnet of the loopback network on which nothing listens."""
        for attempt in range(200):
            number = (os.getpid() + attempt * 37) % 60000
            base = f"127.{20 + number // 250}.{number % 250}"
            try:
                with socket.socket() as probe:
                    probe.bind((f"{base}.250", CLOUD_PORT))
                return base
            except OSError:
                continue
        raise NotRun("no free loopback address")

    def address(self, number):
        return f"{self.base}.{number}"

    def settings(self, address, role, zone, bootstrap):
        seeds = ",".join(f'"{seed}:{CONTROL_PORT}"' for seed in self.control)
        if role == "control":
            data = os.path.join(self.temporary, "data-" + address)
            own = f'dataDir = "{data}"\n[listen]\ncontrol = "{address}:{CONTROL_PORT}"\n'
            memory = 256
        else:
            own = (f'[listen]\nfront = "{address}:{FRONT_PORT}"\n'
                   f'readinessAddress = "{address}:{READY_PORT}"\n')
            memory = self.memory_mb
        bounds = "".join(f"{name} = {value}\n" for name, value in self.bounds.items())
        text = (f'node = "{role}-{address}"\nrole = "{role}"\nip = "{address}"\nzone = "{zone}"\n'
                f'region = "r1"\ninternalPortRange = [{INTERNAL_PORT},{INTERNAL_PORT + 15}]\nseeds = [{seeds}]\n'
                f'bootstrap = {"true" if bootstrap else "false"}\n{own}'
                f'[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = {memory}\nmaxFds = 4100\n'
                f'linkMbps = 1000.0\n[bounds]\nstableWindowMs = 3000\ndrainMs = 3000\n'
                f'configApplyMs = 2000\n{bounds}'
                f'[cloud]\naddress = "{self.address(250)}:{CLOUD_PORT}"\nratePerS = {RATE_PER_S}.0\n'
                f'lagMs = {LAG_S * 1000:.0f}\n')
        path = os.path.join(self.temporary, address + ".toml")
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(path + ".new", path)
        return path

    def start(self, address, bootstrap=True):
        role = "control" if address in self.control else "entry"
        numbers = self.control if role == "control" else self.entries
        zone = ZONES[numbers.index(address) % 3]
        path = self.settings(address, role, zone, bootstrap)
        log = open(os.path.join(self.temporary, address + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "OLEANDERMOUNT_NODE_FILE": path}
        with self.lock:
            if self.stopped:
                return
            self.children[address] = subprocess.Popen(
                [PROGRAM, role], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log)
        self.record(f"platform starts {role} {address}")

    def start_all(self):
        for address in self.control + self.entries:
            self.start(address)

    def signal(self, address, number):
        self.children[address].send_signal(number)
        self.record(f"platform sends signal {signal.Signals(number).name} to {address}")

    def kill(self, address):
        child = self.children[address]
        child.kill()
        child.wait()
        self.record(f"platform kills {address}")

    def is_running(self, address):
        return self.children[address].poll() is None

    def memory(self, address):
        """Resident memory of a process in megabytes; 0 if it has ended."""
        try:
            with open(f"/proc/{self.children[address].pid}/status", encoding="ascii") as file:
                lines = dict(line.split(":", 1) for line in file if ":" in line)
            return int(lines.get("VmRSS", "0 kB").split()[0]) / 1024
        except (OSError, ValueError):
            return 0.0

    def stop(self):
        with self.lock:
            self.stopped = True
        for child in self.children.values():
            if child.poll() is None:
                child.kill()
        for child in self.children.values():
            child.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.temporary, file=sys.stderr)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)

    def operator_call(self, method, path, body=None, deadline_s=20.0, first=0):
        """Sends an operator's call to one control VM after the other, until one answers clearly."""
        end = time.monotonic() + deadline_s
        number = first
        while time.monotonic() < end:
            target = f"{self.control[number % 3]}:{CONTROL_PORT}"
            number += 1
            for _ in range(3):
                try:
                    connection = http.client.HTTPConnection(target, timeout=1.0)
                    connection.request(method, path, body, {"Content-Type": "application/json"})
                    response = connection.getresponse()
                    data = response.read()
                    connection.close()
                except OSError:
                    break
                if response.status == 307:
                    target = response.headers["Location"].split("/")[2]
                    continue
                if response.status < 500 and response.status not in (408, 429):
                    self.record(f"operator {method} {path}: {response.status} from {target}")
                    return response.status, data
                break
            time.sleep(0.2)
        raise NotRun(f"no answer to {method} {path}")

    def put_config(self, document):
        status, data = self.operator_call("PUT", "/v1/config", json.dumps(document))
        if status != 200:
            raise NotRun(f"the desired state was refused: {status} {data!r}")
        self.record(f"operator: version {document['version']} acknowledged")

    def name_version(self, model, version):
        self.named[model] = version
        body = json.dumps({"model": model, "version": version})
        status, data = self.operator_call("POST", "/v1/version-put", body)
        if status != 200:
            raise NotRun(f"version {version} of {model} was refused: {status} {data!r}")

    def wait_ready(self, addresses=None, deadline_s=30.0):
        end = time.monotonic() + deadline_s
        for address in addresses or self.entries:
            while True:
                try:
                    connection = http.client.HTTPConnection(address, READY_PORT, timeout=1.0)
                    connection.request("GET", "/v1/ready")
                    if connection.getresponse().status == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > end:
                    raise NotRun(f"{address} does not become ready")
                time.sleep(0.1)


def run_case(folder, case):
    """Runs a case and exits with `BROKEN`, with 0 if the rule held, else with 2."""
    def end(number, _):
        raise NotRun(f"ended by signal {number}")

    code = 2
    try:
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
            signal.signal(number, end)
        signal.alarm(TIME_LIMIT_S)
        code = BROKEN if case(folder, os.environ.get("TROUBLE", "1") != "0") else 0
    except NotRun as error:
        print("not run:", error)
    except Exception:
        traceback.print_exc()
    sys.stdout.flush()
    os._exit(code)
