#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start, the project's own among them, into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/stand2 ./review/stand2
