#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/cassiasill ] || [ ! -x target/review-standin ]; then
    echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
logs=$(mktemp -d) || exit 2
target/review-standin --logs "$logs" --record review/1/record.txt relay-killed &
pid=$!
trap 'kill -TERM $pid' INT TERM HUP
wait $pid
status=$?
if [ $status -gt 128 ]; then
    wait $pid
    status=2
fi
rm -rf "$logs"
exit $status
