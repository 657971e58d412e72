#!/bin/bash
# Runs the case on loopback: see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
# The run command is a program and its arguments without quotes.
# shellcheck disable=SC2086
exec target/review-stage fields review/6/record.txt $run
