#!/bin/bash
# Case 8 of the review; claim.txt says what it shows. It needs target/dapplestage, built as
# deploy/service.toml says, and what review/build-2.sh builds. TROUBLE=0 leaves the disruption out.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in dapplestage standin review-lab2; do
  if [ ! -x "target/$program" ]; then
    echo "target/$program is missing" >&2
    exit 2
  fi
done
exec target/review-lab2 8 review/8
