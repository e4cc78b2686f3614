#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
for folder in review/*/standin; do
	case "$folder" in
	review/6/*) name=case6-late-copy ;;
	review/7/*) name=case7-leader-stop ;;
	review/8/*) name=case8-left-relay ;;
	review/9/*) name=case9-slow-answer ;;
	review/10/*) name=case10-open-id ;;
	*) continue ;;
	esac
	go build -tags review -o "bin/$name" "./$folder"
done
