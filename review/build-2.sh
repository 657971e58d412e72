#!/bin/bash
# Builds what the scripts of the cases 4 to 8 start besides the controllers: one program with all stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stage ./review/testdata/stage
