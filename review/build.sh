#!/usr/bin/env bash
# Builds the stand-ins of the cases; it needs no network and no module but the standard library.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off go build -o ../bin/stand .
