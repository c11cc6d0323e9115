#!/bin/bash
# Builds the stand-ins that the cases start. The service itself is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin ./cmd/standin
go build -o target/review-lab ./review/lab
