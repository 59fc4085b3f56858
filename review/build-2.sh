#!/bin/sh
# Builds what the scripts of review/4 to review/8 start besides the boxes: the stand-ins are Python
# and need no compiler, so this checks that each loads with the packages of the deploy build.
set -eu
cd "$(dirname "$0")/.."
for name in fleet httpserver link store worker; do
    PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:review/standins-2" python3 -c "import $name"
done
