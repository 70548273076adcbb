#!/bin/sh
# Runs one case five times with the disruption and once without; prints exit codes.
cd "$(dirname "$0")" || exit 2
for turn in 1 2 3 4 5; do
    "$1/run.sh" >/dev/null
    echo "case $1 run $turn: exit $?"
done
TROUBLE=0 "$1/run.sh" >/dev/null
echo "case $1 without the disruption: exit $?"
"$1/run.sh" >/dev/null
echo "case $1 run 6, kept in record.txt: exit $?"
