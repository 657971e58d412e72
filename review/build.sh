#!/bin/bash
# Builds the stand-ins that the cases start. The controllers are built by the command in deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/testdata/standin
