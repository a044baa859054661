"""Model runners and the origin of weights, written from the users' pages, on the script's loop."""

import asyncio
import hashlib
import json
import time

import standin

# As on the site anbudsnett.
LAYERS = 16
PIECES = 96
PIECE_BYTES = 24576
ORIGIN_BYTES_PER_S = 7.3e6 / 8


def piece_of(model, version, number):
    seed = hashlib.sha256(f"{model}@{version}/{number}".encode()).digest()
    return (seed * (PIECE_BYTES // len(seed) + 1))[:PIECE_BYTES]


def pieces_of_layer(layer):
    return range(layer * PIECES // LAYERS, -(-(layer + 1) * PIECES // LAYERS))


class Origin(standin.Server):
    """Sends at the rate of its link. What is two versions back is gone."""

    def __init__(self, model):
        self.model = model
        self.newest = 1
        self.link = asyncio.Lock()
        self.sent = {}  # pieces, by version
        self.gone = {}  # answers with 410, by version

    async def crash(self):
        await self.close()

    async def come_back(self):
        await self.listen(self.address)

    async def handle(self, message, writer, reader):
        version = int(message.query.get("Version", self.newest))
        if version <= self.newest - 2:
            self.gone[version] = self.gone.get(version, 0) + 1
            writer.write(standin.answer(410))
        elif message.path.startswith("/holdpost/manifest/"):
            digests = [hashlib.sha256(piece_of(self.model, version, n)).hexdigest()
                       for n in range(PIECES)]
            writer.write(standin.answer(
                200, json.dumps({"Model": self.model, "Version": version,
                                 "ChunkBytes": PIECE_BYTES, "layers": LAYERS,
                                 "Digests": digests}), Content_Type="application/json"))
        elif message.path.startswith("/holdpost/piece/"):
            number = int(message.query["SampleSize"])
            async with self.link:
                await asyncio.sleep(PIECE_BYTES / ORIGIN_BYTES_PER_S)
            self.sent[version] = self.sent.get(version, 0) + 1
            writer.write(standin.answer(200, piece_of(self.model, version, number),
                                        Content_Type="application/octet-stream"))
        else:
            writer.write(standin.answer(404))
        return True


class ModelRunner(standin.Server):
    """Begins with version 1, staged too. A start takes what lies on the stage."""

    def __init__(self, name, service, zone, model, record):
        self.name, self.service, self.zone, self.model = name, service, zone, model
        self.record = record
        self.version = 1
        self.range = (0, LAYERS)  # of the layers that it holds
        self.stage = {n: piece_of(model, 1, n) for n in range(PIECES)}
        self.orders = 0
        self.busy = False
        self.running = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.events = 8
        self.event_s = 0.05
        # Added to the head of each answer to a caller's request.
        self.answer_fields = {}
        self.begun = []  # (seconds, request id, version)
        self.is_changed = asyncio.Event()

    def models(self):
        return ([{"Name": self.model, "Version": self.version, "Adapters": []}]
                if self.version else [])

    def layers(self):
        return [{"From": self.range[0], "TargetVersion": self.range[1], "Version": self.version}] \
            if self.version else []

    def entry(self):
        self.sequence += 1
        made = standin.entry(self.address, self.service, self.zone, 16, self.sequence, self.born,
                             models=self.models())
        made["layers"] = self.layers()
        return made

    def layers_to_take(self, version, wanted):
        """Layers of the same version that it holds are kept."""
        kept = range(*self.range) if self.version == version else range(0)
        return [layer for layer in range(*wanted) if layer not in kept]

    async def load(self, version, wanted):
        pieces = sorted({n for layer in self.layers_to_take(version, wanted)
                         for n in pieces_of_layer(layer)})
        taken = {n: self.stage.get(n) for n in pieces}
        while self.running:
            await asyncio.sleep(0.01)
        self.version = 0
        await asyncio.sleep(0.3 * len(pieces) / PIECES)
        self.version, self.range, self.busy = version, wanted, False
        wrong = [n for n in pieces if taken[n] != piece_of(self.model, version, n)]
        self.record.note(f"{self.name} has loaded version {version}, layers {wanted[0]} to "
                         f"{wanted[1]}, wrong pieces: {wrong}")
        self.is_changed.set()

    async def handle(self, message, writer, reader):
        path = message.path
        if path == "/holdpost/report":
            writer.write(standin.answer(200, json.dumps({
                "Stage": "colocated", "Models": self.models(), "layers": self.layers(),
                "Busy": self.busy, "Sequence": self.orders, "Queued": 0, "Running": self.running,
                "KvUsed": 0, "KvTotal": 317000, "Handles": 0, "born": self.born}),
                Content_Type="application/json"))
        elif path.startswith("/holdpost/stage-put/"):
            self.stage[int(message.query["SampleSize"])] = message.body
            writer.write(standin.answer(200))
        elif path.startswith("/holdpost/stage-get/"):
            if "SampleSize" not in message.query:
                writer.write(standin.answer(200, json.dumps({"held": sorted(self.stage)}),
                                            Content_Type="application/json"))
            elif int(message.query["SampleSize"]) in self.stage:
                writer.write(standin.answer(200, self.stage[int(message.query["SampleSize"])]))
            else:
                writer.write(standin.answer(404))
        elif path == "/holdpost/order":
            order = json.loads(message.body)
            wanted = (order.get("From", 0), order.get("TargetVersion", LAYERS))
            if order.get("ExpectedRev", self.orders) != self.orders or self.busy:
                writer.write(standin.answer(409))
            elif order["Version"] == self.version and wanted == self.range:
                writer.write(standin.answer(200))
            else:
                self.orders += 1
                self.busy = True
                self.record.note(f"{self.name} takes the order for version {order['Version']}")
                asyncio.ensure_future(self.load(order["Version"], wanted))
                writer.write(standin.answer(202))
        elif path == "/health":
            writer.write(standin.answer(200, X_Instance_Id=self.name))
        else:
            return await self.stream(message, writer)
        return True

    async def stream(self, message, writer):
        fields = message.fields
        number = fields.get("x-request-id")
        if fields.get("x-expect-instance", self.name) != self.name:
            named = {} if number is None else {"X_Request_Id": number}
            writer.write(standin.answer(421, X_Instance_Id=self.name, X_Not_Executed=1, **named))
            return True
        if number is None:
            writer.write(standin.answer(400, X_Not_Executed=1))
            return True
        if self.version and self.range != (0, LAYERS):
            writer.write(standin.answer(421, X_Request_Id=number, X_Instance_Id=self.name))
            return True
        if self.busy or not self.version or self.running >= 48:
            writer.write(standin.answer(503, X_Request_Id=number, X_Not_Executed=1))
            return True
        self.running += 1
        self.begun.append((self.record.now(), number, self.version))
        self.record.note(f"{self.name} begins {number} on version {self.version}")
        try:
            stamp = hashlib.sha256(f"{self.name} {number}".encode()).hexdigest()[:16]
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                    f"X-Request-Id: {number}", f"X-Server-Stamp: {stamp}",
                    f"X-Weight-Versions: {self.version}", "Transfer-Encoding: chunked"]
            head += [f"{n}: {v}" for n, v in self.answer_fields.items()]
            writer.write("\r\n".join(head + ["", ""]).encode())
            for i in range(int(fields.get("last-event-id", "0")) + 1, self.events + 1):
                await asyncio.sleep(self.event_s)
                event = f"id: {i}\ndata: {number} {i}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1
        return True

    async def beat(self, store):
        while True:
            await store.beat(self.name, self.entry())
            await self.until_next_beat()

    async def until_next_beat(self):
        """Its entry is written each 1.2 s, and as soon as it holds other layers."""
        try:
            await asyncio.wait_for(self.is_changed.wait(), standin.HEARTBEAT_S)
        except asyncio.TimeoutError:
            pass
        self.is_changed.clear()
