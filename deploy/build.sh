#!/usr/bin/env bash
# Puts the libraries and the product's packages into target/deps.
set -euo pipefail
exec python3 -I -S "$(dirname "$0")/build.py"
