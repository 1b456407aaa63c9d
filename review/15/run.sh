#!/usr/bin/env bash
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "${BASH_SOURCE[0]}")"
exec timeout -k 5 120 python3 case.py
