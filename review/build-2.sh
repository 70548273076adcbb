#!/bin/sh
# Builds the stand-ins of the cases in review/6 and up; needs the build of the deploy
# file, and no network. They are Python modules, so this compiles and imports them.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:src:.
export PYTHONPYCACHEPREFIX=target/review-2
python3 -m compileall -q review/standin2 tests/platform/fakes.py src/wisterialoom
for case in review/[6-9] review/10; do
    if [ -f "$case/case.py" ]; then
        python3 -m compileall -q "$case"
    fi
done
python3 -c 'import tests.platform.fakes, aiohttp'
echo "stand-ins of review/ are ready"
