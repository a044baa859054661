"""A plain runner as a process of its own, written from the users' pages.

runner.py ID ADDRESS PORT STORE_ADDRESS STORE_PORT SERVICE ZONE SLOTS WORK_MS LOG

It works on SLOTS requests at once, queues 24 more and rejects the rest, writes its record to the
store's stand-in each 1.2 s, and notes each request that it begins and ends in LOG.
"""

import asyncio
import hashlib
import json
import sys
import time

import standin


class Runner(standin.Server):
    def __init__(self, name, service, zone, slots, work_ms, log):
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.work = slots, work_ms / 1000
        self.free = asyncio.Semaphore(slots)
        self.open = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.log = open(log, "a", buffering=1)

    def note(self, text):
        self.log.write(f"{time.monotonic():.3f} {self.name} {text}\n")

    async def handle(self, message, writer, reader):
        fields = message.fields
        expected = fields.get("x-expect-instance", self.name)
        number = fields.get("x-request-id")
        named = {} if number is None else {"X_Request_Id": number}
        is_health = message.path == "/health"
        if expected != self.name:
            writer.write(standin.answer(421, X_Instance_Id=self.name, X_Not_Executed=1, **named))
            return True
        if number is None and not is_health:
            writer.write(standin.answer(400, X_Not_Executed=1))
            return True
        # A health check waits for a slot or is rejected, as a request is.
        if self.open >= self.slots + 24:
            writer.write(standin.answer(503, X_Instance_Id=self.name, X_Not_Executed=1, **named))
            return True
        if is_health:
            self.open += 1
            try:
                async with self.free:
                    writer.write(standin.answer(200, X_Instance_Id=self.name))
            finally:
                self.open -= 1
            return True
        self.open += 1
        try:
            async with self.free:
                self.note(f"runs {number} {message.method} {message.target}")
                await asyncio.sleep(self.work)
        finally:
            self.open -= 1
        body = f"{message.target} by {self.name}\n".encode()
        self.note(f"answers {number}")
        writer.write(standin.answer(
            200, body, X_Request_Id=number, Content_Type="text/plain",
            X_Server_Stamp=hashlib.sha256(body + number.encode()).hexdigest()[:16]))
        return True

    async def beat(self, store):
        while True:
            self.sequence += 1
            made = standin.entry(self.address, self.service, self.zone, self.slots, self.sequence,
                                 self.born)
            await standin.call(store, "POST", "/standin/beat", {"Host": "store"},
                               json.dumps({"Id": self.name, **made}).encode(), timeout=1)
            await asyncio.sleep(standin.HEARTBEAT_S)


async def main():
    name, address, port, store, store_port, service, zone, slots, work_ms, log = sys.argv[1:]
    runner = Runner(name, service, zone, int(slots), float(work_ms), log)
    await runner.listen((address, int(port)))
    await runner.beat((store, int(store_port)))


asyncio.run(main())
