#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in review-2 winghatch standin; do
	[ -x bin/$program ] || { echo "bin/$program is missing: run the build and review/build-2.sh first"; exit 2; }
done
timeout -k 2 115 bin/review-2 split-reservations "$here/record.txt" &
child=$!
trap 'kill $child; wait $child; exit 2' TERM INT HUP
wait $child
status=$?
[ $status -le 2 ] || status=2
exit $status
