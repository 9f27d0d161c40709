#!/usr/bin/env bash
# Builds the stand-ins of the review's cases 4 to 8.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target/review
GOWORK=off go build -o ../../target/review/stand-2 .
