#!/usr/bin/env bash
# Runs case 3 and writes record.txt. Exits with 0 if the rules held, 1 if one was broken, 2 if the case couldn't run.
exec "$(dirname "$0")/../run-case.sh" 3
