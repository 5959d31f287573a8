#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python 3, standard library only, so
# building them means checking that the interpreter is there and takes them.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
for file in standins/platform_standins.py 1/case.py 2/case.py 3/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
