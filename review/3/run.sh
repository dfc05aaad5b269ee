#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.. python3 run.py
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
