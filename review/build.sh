#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs that use only the standard library, so
# there is nothing to compile: this checks that Python can read them.
set -e
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in stand_ins/*.py [0-9]*/*.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
