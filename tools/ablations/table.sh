#!/usr/bin/env bash
# Plays the load patterns of core/dispatcher without each mechanism and prints
# what callers earn, in percent, as the mean over the patterns: a late answer
# counts a fifth. Works on a copy; each patch switches one mechanism off.
set -euo pipefail
cd "$(dirname "$0")/../.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT

earned() {
	(cd "$copy/core" && go test ./dispatcher -run TestPatterns -update >/dev/null 2>&1) || true
	cat "$copy"/core/dispatcher/testdata/*.golden |
		awk '/^dispatcher/ { gsub("%", ""); n++; sum += $4 + 0.2 * $6 } END { printf "%.2f", sum / n }'
}

fresh() {
	rm -rf "${copy:?}"/*
	cp -r core hornbeamd hornctl hornbench platform go.work go.work.sum "$copy"
}

fresh
printf '%-24s %s\n' "(all mechanisms)" "$(earned)"
for patch in tools/ablations/*.patch; do
	fresh
	git -C "$copy" apply "$PWD/$patch"
	printf '%-24s %s\n' "$(basename "$patch" .patch)" "$(earned)"
done
