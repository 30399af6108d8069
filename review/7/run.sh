#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
case=$(basename "$here")
cd "$here/../.." || exit 2
program=target/review-2/case-$case
if ! [ -x target/release/curlewhub ] || ! [ -x "$program" ]; then
    echo "could not run: build as the deploy file says, then review/build-2.sh"
    exit 2
fi
folder=$(mktemp -d) || exit 2
# In a group of its own, so that the sidecar ends with it, whatever happens.
TMPDIR=$folder setsid timeout -s KILL 110 "$program" "$here/record.txt" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$folder"' EXIT
trap 'exit 2' INT TERM HUP
wait "$group"
code=$?
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
