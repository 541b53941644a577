#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || {
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 1
}
PYTHONPATH=target/deps:review/standins python3 -B -c '
import backend_standin
import configurations
import deployment_standin
import reader_standin
import store_standin
'
