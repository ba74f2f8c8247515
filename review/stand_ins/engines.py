"""Model servers. They check the instance and the version that a request expects, keep the parts of
prompts that they have read under the request's salt, and carry out orders to load weights."""

import json
import threading
import time

from rig import Server, respond, respond_json

LOAD_S = 0.4
FIRST_S = 0.02
EVENTS = 6
EVENT_S = 0.01


class Engine(Server):
    def __init__(self, rig, number, service, zone, models, slots=16):
        self.models = dict(models)
        self.busy, self.seq = False, 0
        # The tenant that made each part that is kept, by salt, model and the parts before it.
        self.kept = {}
        self.uses = []
        self.rejected = []
        super().__init__(rig, number, service, zone, slots=slots)

    def model_list(self):
        return [{"name": name, "version": version, "adapters": []}
                for name, version in sorted(self.models.items())]

    def entry(self):
        return {**super().entry(), "models": self.model_list()}

    def handle(self, request, connection):
        path = request.path.split("?")[0]
        if path == "/v1/report":
            return respond_json(connection, 200, {
                "stage": "colocated", "models": self.model_list(), "busy": self.busy,
                "seq": self.seq, "waiting": 0, "running": self.running, "kvUsed": 0,
                "kvTotal": 100000, "handles": 0, "born": self.born})
        if path == "/v1/kv-events":
            return respond_json(connection, 200, {"bootEpoch": self.born, "nextPageToken": 0,
                                                  "lost": False, "events": []})
        if path == "/v1/order":
            return self.order(request, connection)
        return super().handle(request, connection)

    def order(self, request, connection):
        if request.headers.get("expect-instance", self.id) != self.id:
            return respond(connection, 421, [("Instance-Id", self.id)])
        body = json.loads(request.body)
        self.rig.record(f"server {self.id} gets the order {body}")
        with self.lock:
            if self.models.get(body["model"], 0) == body["version"]:
                return respond_json(connection, 200, {})
            if self.busy or body.get("precondition", self.seq) != self.seq:
                return respond_json(connection, 409, {})
            self.busy = True
            self.seq += 1
        threading.Thread(target=self.load_weights, args=(body["model"], body["version"]),
                         daemon=True).start()
        return respond_json(connection, 202, {})

    def load_weights(self, model, version):
        time.sleep(LOAD_S)
        with self.lock:
            self.models[model] = version
            self.kept = {key: maker for key, maker in self.kept.items() if key[1] != model}
            self.busy = False
        self.rig.record(f"server {self.id} has loaded version {version} of {model}")

    def run(self, request, connection):
        model = request.headers.get("model", "")
        version = self.models.get(model)
        expected = request.headers.get("expect-version")
        if version is None or (expected is not None and expected != str(version)):
            self.rejected.append(request.id)
            self.rig.record(f"server {self.id} answers 421 to {request.id}: {model} has version "
                            f"{version}, expected {expected}")
            return respond(connection, 421, [("Instance-Id", self.id), ("Request-Id", request.id)])
        with self.lock:
            self.running += 1
        self.runs.append(request.id)
        self.use_cache(request, model)
        try:
            time.sleep(FIRST_S)
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                    f"Request-Id: {request.id}", f"Response-Seal: s.{request.id}",
                    f"Weight-Versions: {version}", "Transfer-Encoding: chunked",
                    "%s: %s" % self.load_header()]
            connection.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
            for number in range(1, EVENTS + 1):
                event = f"id: {number}\ndata: token {number} of {request.id}\n\n".encode()
                connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                time.sleep(EVENT_S)
            connection.sendall(b"0\r\n\r\n")
        finally:
            with self.lock:
                self.running -= 1

    def use_cache(self, request, model):
        """Uses the kept parts of the prompt and keeps the others."""
        salt, tenant = request.headers.get("cache-salt", ""), request.headers.get("tenant", "")
        before = ()
        found = True
        for part in request.headers.get("prompt-prefix", "").split(","):
            before += (part.split(":")[0],)
            key = (salt, model, before)
            maker = self.kept.get(key)
            found = found and maker is not None
            if found:
                self.uses.append((request.id, tenant, maker, before[-1]))
                self.rig.record(f"server {self.id}: {request.id} of tenant {tenant} uses part "
                                f"{before[-1]} that a request of tenant {maker} made")
            else:
                self.kept[key] = tenant
        self.rig.record(f"server {self.id} runs {request.id} of tenant {tenant} on {model}")
