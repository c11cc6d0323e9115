#!/bin/bash
# Builds what the scripts of the cases 4 to 8 start beside the service itself.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin ./cmd/standin
go build -o target/review-lab2 ./review/lab2
