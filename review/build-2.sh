#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python; python3 is in .ci/packages.txt.
# Only compiles them, so that a missing or old interpreter shows here.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 8), sys.version'
for file in stand_ins_2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
  if [ -f "$file" ]; then
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
  fi
done
