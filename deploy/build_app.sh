#!/bin/sh
# Copies the program to a folder with its byte code, from which a start is faster: the
# repository is read-only where the program runs, so that no byte code is kept there.
set -eu
app=$1
rm -rf "$app"
mkdir -p "$app"
cp -R almondglade "$app/"
printf 'import almondglade.__main__  # noqa: F401\n' > "$app/__main__.py"
python3 -m compileall -q --invalidation-mode unchecked-hash "$app"
