#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")" && exec timeout 118 python3 -B case.py
