#!/bin/sh
# Builds the stand-ins of the third review. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -trimpath -o target/review-3/ ./review/standin-3
