#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases (review/4 to review/8) into target/review-2. They play the programs that
# the deploy file's build has put into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -buildvcs=false -o target/review-2/cases2 ./review/cases2
