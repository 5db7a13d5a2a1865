#!/bin/sh
# Builds the scripts of the cases, with all stand-ins that they start, into target/review. The project's own programs come from the
# build command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-3]; do
	go build -o "target/review/case-$(basename "$case")" "./$case"
done
