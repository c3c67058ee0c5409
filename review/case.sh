# Runs one case of the review: sourced by `N/run.sh` with the case's number in `case`.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$here/.." && pwd)
standins=$root/target/review/release/review-standins
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/service.toml")
if [ ! -x "$root/${RUN%% *}" ] || [ ! -x "$standins" ]; then
    echo "build the program (deploy/service.toml) and the stand-ins (review/build.sh) first" >&2
    exit 2
fi
WORK_DIR=$(mktemp -d)
cleanup() {
    if [ -n "${child:-}" ]; then kill "$child" 2>/dev/null && wait "$child"; fi
    # What the stand-ins did not end themselves; only processes that this test started.
    if [ -e "$WORK_DIR/pids" ]; then
        while read -r pid; do
            if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$root/${RUN%% *}" ]; then
                kill -CONT "$pid" 2>/dev/null
                kill -KILL "$pid" 2>/dev/null
            fi
        done <"$WORK_DIR/pids"
    fi
    # LOGS names a folder for the controllers' logs, if they are wanted.
    if [ -n "${LOGS:-}" ]; then mkdir -p "$LOGS" && cp "$WORK_DIR"/*.log "$LOGS"/ 2>/dev/null; fi
    rm -rf "$WORK_DIR"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
export RUN WORK_DIR
export ROOT=$root RECORD=$here/$case/record.txt TROUBLE=${TROUBLE:-1}
timeout -k 1 118 "$standins" "$case" &
child=$!
wait "$child"
code=$?
child=
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
