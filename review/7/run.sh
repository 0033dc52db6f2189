#!/usr/bin/env bash
# Plays case 7 and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/monsoonstep-node ] && [ -x target/stand2 ] || { echo "build the node program and run review/build-2.sh first"; exit 2; }
timeout -k 5 110 target/stand2 assumed-open review/7/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
