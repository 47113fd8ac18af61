#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python and need no build; this checks
# that they load.
cd "$(dirname "$0")" || exit 1
exec python3 -c "
import ast, glob
for name in glob.glob('lab-3/*.py') + glob.glob('1[1-5]/*.py'):
    ast.parse(open(name).read(), name)
"
