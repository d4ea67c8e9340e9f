#!/bin/sh
# Exits with 1 if RECOVER was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no power loss.
cd "$(dirname "$0")/../.." && exec target/review/standins restart review/1
