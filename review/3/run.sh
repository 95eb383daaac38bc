#!/usr/bin/env bash
# Exit 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/3/case.py
