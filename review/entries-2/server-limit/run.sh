#!/bin/sh
# Ends with 1 if Fault was broken (a sidecar hangs), 0 if not, 2 if the case could not run. TROUBLE=0:
# the runners name a limit of 50 requests a second.
cd "$(dirname "$0")" && exec python3 run.py
