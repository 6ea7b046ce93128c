#!/usr/bin/env bash
# Runs the case and writes record.txt beside this file; with TROUBLE=0 without the
# disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" && exec python3 case.py
