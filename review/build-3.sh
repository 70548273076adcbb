#!/usr/bin/env bash
# Prepares what the scripts of review/11 to 15 start. The stand-ins use the standard
# library alone; the instances use target/deps of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
test -d target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
mkdir -p target/review-3
for file in review/standin3/*.py review/1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
