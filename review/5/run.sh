#!/bin/sh
# Ends with 1 if VERSION was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the fifth
# version is not named.
cd "$(dirname "$0")" && exec python3 run.py
