"""Model servers. They check the instance and the version that a request expects, keep the parts of
prompts that they have read under the request's salt, tell of them, and carry out orders to load
weights."""

import json
import threading
import time
from urllib.parse import parse_qs, urlsplit

from rig import Server, respond, respond_json

LOAD_S = 0.4
FIRST_S = 0.02
CALLS_AT_ONCE = 12


class Engine(Server):
    # Events of a stream, and the time of each.
    events, event_s = 6, 0.01

    def __init__(self, rig, number, service, zone, models, slots=16):
        self.models = dict(models)
        self.seq, self.fence = 0, 0
        # The model whose weights are being loaded.
        self.loading = None
        # The tenant that made each part that is kept and its tokens, by salt, model and the parts
        # before it; what has changed there.
        self.kept, self.changes = {}, []
        self.uses = []
        self.listening = 0
        self.changed = threading.Condition()
        super().__init__(rig, number, service, zone, slots=slots)

    def model_list(self):
        return [{"name": name, "version": version, "adapters": []}
                for name, version in sorted(self.models.items())]

    def entry(self):
        return {**super().entry(), "models": self.model_list()}

    def handle(self, request, connection):
        url = urlsplit(request.path)
        if url.path == "/v1/report":
            return respond_json(connection, 200, {
                "stage": "colocated", "models": self.model_list(), "busy": self.loading is not None,
                "seq": self.seq, "waiting": self.waiting, "running": self.running, "kvUsed": 0,
                "kvTotal": 100000, "handles": 0, "pinned": 0, "held": 0, "state": "ready",
                "runs": [], "born": self.born})
        if url.path == "/v1/kv-events":
            since = int(parse_qs(url.query).get("since", ["0"])[0])
            return self.tell_changes(connection, since, int(request.headers.get("wait-ms", 0)))
        if url.path == "/v1/kv-list":
            with self.changed:
                held = [[key[0], key[2][-1], tokens, key[1]]
                        for key, (_, tokens) in self.kept.items()]
                number = len(self.changes)
            return respond_json(connection, 200, {"bootEpoch": self.born, "nextPageToken": number,
                                                  "held": held, "born": self.born})
        if url.path == "/v1/order":
            return self.order(request, connection)
        if self.loading is not None and request.headers.get("model") == self.loading:
            return respond(connection, 503, [("Request-Id", request.id), ("Not-Executed", "1")])
        return super().handle(request, connection)

    def tell_changes(self, connection, since, wait_ms):
        with self.changed:
            if self.listening >= CALLS_AT_ONCE:
                return respond(connection, 429)
            self.listening += 1
            self.changed.wait_for(lambda: len(self.changes) > since, min(wait_ms, 1000) / 1000)
            self.listening -= 1
            number, new = len(self.changes), self.changes[since:]
        return respond_json(connection, 200, {"bootEpoch": self.born, "nextPageToken": number,
                                              "lost": False, "events": new, "born": self.born})

    def change(self, sign, key, tokens):
        self.changes.append([len(self.changes) + 1, sign, key[0], key[2][-1],
                             tokens if sign == "+" else 0, key[1]])
        self.changed.notify_all()

    def order(self, request, connection):
        if request.headers.get("expect-instance", self.id) != self.id:
            return respond(connection, 421, [("Instance-Id", self.id)])
        body = json.loads(request.body)
        self.rig.record(f"server {self.id} gets the order {body}")
        model, version = body.get("model"), body.get("version")
        if (body.get("op") != "version" or "holder" not in body or "fence" not in body
                or model not in self.models or version > self.rig.named.get(model, 1)):
            return respond_json(connection, 400, {})
        with self.lock:
            if body["fence"] < self.fence:
                return respond_json(connection, 412, {})
            self.fence = body["fence"]
            if self.models[model] == version:
                return respond_json(connection, 200, {})
            if self.loading is not None or body.get("precondition", self.seq) != self.seq:
                return respond_json(connection, 409, {})
            self.loading = model
            self.seq += 1
        threading.Thread(target=self.load_weights, args=(model, version), daemon=True).start()
        return respond_json(connection, 202, {})

    def load_weights(self, model, version):
        # Runs finish first.
        while self.running:
            time.sleep(0.005)
        time.sleep(LOAD_S)
        with self.changed:
            for key in [key for key in self.kept if key[1] == model]:
                self.change("-", key, self.kept.pop(key)[1])
        self.models[model] = version
        self.loading = None
        self.rig.record(f"server {self.id} has loaded version {version} of {model}")

    def run(self, request, connection):
        model = request.headers.get("model", "")
        version = self.models.get(model)
        expected = request.headers.get("expect-version")
        if version is None or (expected is not None and expected != str(version)):
            self.rig.record(f"server {self.id} answers 421 to {request.id}: {model} has version "
                            f"{version}, expected {expected}")
            return respond(connection, 421, [("Instance-Id", self.id), ("Request-Id", request.id)])
        after = int(request.headers.get("last-event-id", 0))
        self.use_cache(request, model)
        self.rig.record(f"server {self.id} runs {request.id} on version {version} of {model} "
                        f"after event {after}")
        time.sleep(FIRST_S)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                f"Request-Id: {request.id}", f"Response-Seal: s.{request.id}",
                f"Weight-Versions: {version}", "Transfer-Encoding: chunked",
                "%s: %s" % self.load_header()]
        connection.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(after + 1, self.events + 1):
            event = f"id: {number}\ndata: {self.event_text(number)}\n\n".encode()
            connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            time.sleep(self.event_s)
        connection.sendall(b"0\r\n\r\n")

    def event_text(self, number):
        return f"token {number}"

    def use_cache(self, request, model):
        """Uses the kept parts of the prompt and keeps the others."""
        salt, tenant = request.headers.get("cache-salt", ""), request.headers.get("tenant", "")
        before = ()
        found = True
        with self.changed:
            for part in request.headers.get("prompt-prefix", "").split(","):
                part, _, tokens = part.partition(":")
                before += (part,)
                key = (salt, model, before)
                found = found and key in self.kept
                if found:
                    maker = self.kept[key][0]
                    self.uses.append((request.id, tenant, maker, part))
                    self.rig.record(f"server {self.id}: {request.id} of tenant {tenant} uses part "
                                    f"{part} that a request of tenant {maker} made")
                else:
                    self.kept[key] = (tenant, int(tokens))
                    self.change("+", key, int(tokens))
