#!/usr/bin/env bash
# Runs a case of the second review: run-case-2.sh NAME FOLDER. The programs must have been built (build-2.sh, and the
# build of the deploy file).
cd "$(dirname "$0")/.." || exit 2
[ -x target/release/staircross-gateway ] && [ -x target/review/standins-2 ] || exit 2
target/review/standins-2 "$1" "$2/record.txt" &
standins=$!
# The stand-ins end the gateways that they have started. If they are ended themselves, this script does it.
stop() {
    kill -KILL $(pgrep -P "$standins") "$standins"
    rm -rf "${TMPDIR:-/tmp}/staircross-review-2-$standins"
    exit 2
}
trap stop INT TERM
wait "$standins"
