#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The project's own programs are built by the
# deploy file's build line.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-standin ./review/standin
