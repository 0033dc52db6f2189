#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review, cases 11 and up. The node programs come from the line "build" in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-stand3 ./review/stand3
