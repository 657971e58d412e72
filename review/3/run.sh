#!/bin/bash
# Plays the case "faulty" (review/testdata/standin/cases.go) and writes record.txt beside this file. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] || { echo "review/build.sh was not run"; exit 2; }
timeout -k 3 116 target/review/standin faulty review/3/record.txt
status=$?
[ $status -le 1 ] && exit $status
exit 2
