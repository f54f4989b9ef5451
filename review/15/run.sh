#!/usr/bin/env bash
# Plays the case in case.py. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
