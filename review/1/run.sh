#!/bin/sh
# Exit 1: the rule was broken, 0: it held, 2: the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || { echo "run the build line of deploy/system.toml first"; exit 2; }
PYTHONPATH=target/deps exec python3 review/1/scenario.py
