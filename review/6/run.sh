#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it
# does the same without the disruption; review/harness2.py reads the variable as IS_DISTURBED.
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
exec python3 review/6/case.py
