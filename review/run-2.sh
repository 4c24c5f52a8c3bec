#!/usr/bin/env bash
# Runs a case of the second review: run-2.sh FOLDER PROGRAM. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here="$(cd "$1" && pwd)"
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
program="$root/target/review-2/release/$2"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/filbertd" ]; then
    echo "not built: run the build of deploy/system.toml and review/build-2.sh" >&2
    exit 2
fi
folder="$(mktemp -d)"
end() {
    # Ends the daemons of this case that are left, by their ids.
    if [ -f "$folder/processes" ]; then
        while read -r process; do
            if grep -q "$folder" "/proc/$process/environ" 2>/dev/null; then
                kill -KILL "$process" 2>/dev/null
            fi
        done <"$folder/processes"
    fi
    rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' INT TERM
REVIEW_ROOT="$root" REVIEW_FOLDER="$folder" REVIEW_RECORD="$here/record.txt" \
    timeout -k 5 115 "$program"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
