#!/usr/bin/env bash
# Builds what the scripts of the third review start: stand-ins in Python, which
# need nothing but the interpreter and the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
[ -d ../target/deps ] || bash ../deploy/build.sh
python3 - harness-3/*.py 1[1-5]/*.py <<'PY'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path, "rb") as file:
        compile(file.read(), path, "exec")
PY
