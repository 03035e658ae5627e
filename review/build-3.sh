#!/bin/sh
# Builds the stand-ins that the scripts of review 3 start. They are Python
# programs of review/standin-3, which need nothing but Python 3.11's own library:
# they are only checked. bronze-scheduler comes from the build of the deploy file.
cd "$(dirname "$0")" || exit 2
exec python3 -B - <<'EOF'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in ["standin-3/world.py", *sorted(map(str, pathlib.Path(".").glob("1[1-5]/case.py")))]:
    compile(pathlib.Path(path).read_text(), path, "exec")
EOF
