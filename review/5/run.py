"""Versions 2 to 6 are named, 1.9 s apart, and nothing else happens. As the gateways learn the fifth of
them, they forget the first, whose bound comes next. They go on sending requests to runners with
version 1 after the bound of version 2."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
import models
import standin
from standin import call, host

TROUBLE = os.environ.get("TROUBLE") != "0"
GATEWAYS = [1, 2]
RUNNERS = [21, 22, 23, 24]
# Seconds from the start of the traffic.
FIRST, GAP, END = 6.0, 1.9, 25.0
NAMED = [2, 3, 4, 5, 6] if TROUBLE else [2, 3, 4, 5]


async def main(record):
    store = await standin.Store().listen((host(200), 8007))
    asyncio.ensure_future(store.lapse_silent())
    origin = await models.Origin("m").listen((host(201), 8006))
    await store.put_json("keyed.op", "config", standin.config(1, [
        standin.route("utkast", "utkast.example", "modellpool", "streaming", 6000, 400)],
        [standin.model_service("modellpool", "m", models.LAYERS, models.PIECES,
                               models.PIECE_BYTES),
         {"Name": "kundeportal", "Origin": "%s:%d" % origin.address, "Zone": "a",
          "LinkMbps": 7.3, "MaxConns": 48}]))
    acknowledged = {}

    async def name(version):
        origin.newest = version
        await store.put_json("keyed.op", "version/m", {"Model": "m", "Version": version})
        acknowledged[version] = record.now()
        record.note(f"version {version} is named")

    await name(1)
    runners = []
    for machine in RUNNERS:
        runner = models.ModelRunner(f"i-llm-{machine}", "modellpool", "a", "m", record)
        await runner.listen((host(machine), standin.RUNNER_PORT))
        asyncio.ensure_future(runner.beat(store))
        runners.append(runner)
    programs = standin.Programs(store.address, record)

    async def measure():
        for machine in RUNNERS:
            programs.start("sidecar", machine, service="modellpool")
        for machine in GATEWAYS:
            programs.start("gateway", machine, seeds=GATEWAYS)
        for machine in GATEWAYS:
            await standin.until("a gateway is ready", lambda m=machine: standin.is_ready(m))

            async def reported(m=machine):
                return await standin.metric(m, "holdpost_targets_reported") == len(RUNNERS)
            await standin.until("all sidecars have reported", reported)
        began = record.now()
        statuses = []

        async def ask(count):
            got = await call((host(GATEWAYS[count % len(GATEWAYS)]), standin.CALLERS_PORT), "POST",
                             f"/utkast/{count}", {
                "Host": "utkast.example", "X-Request-Id": f"r-{count}", "X-Deadline-Ms": "6000",
                "X-Model": "m", "X-Token-Counts": "600,40",
                "X-Prompt-Prefix": f"aa:40,{count:x}:560", "Authorization": "Bearer key-1"},
                f"draft {count}".encode(), timeout=8)
            statuses.append(got.status)
            record.note(f"r-{count} is answered: {got.status} "
                        f"{got.fields.get('holdpost-error', got.error)}")

        async def traffic():
            count = 0
            while record.now() - began < END:
                asyncio.ensure_future(ask(count))
                count += 1
                await asyncio.sleep(0.05)

        async def names():
            await asyncio.sleep(FIRST)
            for i, version in enumerate(NAMED):
                await asyncio.sleep(max(began + FIRST + i * GAP - record.now(), 0))
                await name(version)

        await asyncio.gather(traffic(), names())
        await asyncio.sleep(7)
        late = []
        for runner in runners:
            for at, number, version in runner.begun:
                for newer, named_at in acknowledged.items():
                    if newer > version and at > named_at + standin.VERSION_MS / 1000:
                        late.append((at, number, version, newer, at - named_at))
                        break
        for at, number, version, newer, age in sorted(late)[:5]:
            record.note(f"{number} began on version {version}, {age * 1000:.0f} ms after version "
                        f"{newer} was acknowledged")
        begun = sum(len(runner.begun) for runner in runners)
        record.note(f"{statuses.count(200)} of {len(statuses)} served; runners hold versions "
                    f"{[r.version for r in runners]}; begun too late on an older version: "
                    f"{len(late)} of {begun}")
        if begun < 100:
            raise standin.CannotRun("too little was begun")
        return bool(late)

    try:
        return await measure()
    finally:
        programs.end_all()


standin.run_case(main, FOLDER)
