#!/usr/bin/env bash
# Builds what a case needs and runs it: run-case.sh NUMBER.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/release/staircross-gateway ]; then
    cargo build --release --locked --offline -p staircross-platform || exit 2
fi
bash review/build.sh || exit 2
target/review/standins "$1" "review/$1/record.txt" &
standins=$!
# The stand-ins end the gateways that they started and remove their folder. If they are stopped themselves, this script
# does it.
stop() {
    kill -KILL $(pgrep -P "$standins") "$standins"
    rm -rf "${TMPDIR:-/tmp}/staircross-review-$1-$standins"
    exit 2
}
trap 'stop '"$1" INT TERM
wait "$standins"
