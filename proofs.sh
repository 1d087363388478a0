#!/usr/bin/env bash
# Mutation test: for each rule of proofs.txt, breaks the code that enforces the rule
# in a copy of the tree and runs the test that must then fail. Prints a line for each
# rule and exits with 1 if a mutation is unnoticed, changes nothing or does not build.
#
#   ./proofs.sh [WORD]    only the rules whose name, file, package or test contains WORD
set -uo pipefail
cd "$(dirname "$0")"
root=$(pwd)
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
passed=0 failed=0

# rule NAME FILE PATTERN REPLACEMENT PACKAGE TEST: sed -E replaces PATTERN by REPLACEMENT
# in FILE; TEST (a regular expression) in PACKAGE must then fail.
rule() {
  case "$1 $2 $5 $6" in *"${only:-}"*) ;; *) return ;; esac
  rm -rf "$copy/tree" && mkdir "$copy/tree"
  git -C "$root" ls-files -z --cached --others --exclude-standard | tar -C "$root" --null -T - -cf - | tar -C "$copy/tree" -xf -
  sed -i -E "s~$3~$4~" "$copy/tree/$2"
  if cmp -s "$root/$2" "$copy/tree/$2"; then
    echo "NO CHANGE   $1 ($2)"; failed=$((failed + 1)); return
  fi
  if ! (cd "$copy/tree" && go vet "./$5" >"$copy/vet" 2>&1); then
    echo "NOT BUILT   $1: $(tail -n 1 "$copy/vet")"; failed=$((failed + 1)); return
  fi
  if (cd "$copy/tree" && timeout 120 go test -timeout 100s -count=1 -run "^($6)\$" "./$5" >"$copy/out" 2>&1); then
    echo "UNNOTICED   $1"; failed=$((failed + 1))
  else
    echo "noticed     $1 ($6)"; passed=$((passed + 1))
  fi
}

only=${1:-}
while IFS='|' read -r name file pattern replacement package test; do
  [ -n "$name" ] && [ "${name:0:1}" != "#" ] && rule "$name" "$file" "$pattern" "$replacement" "$package" "$test"
done <proofs.txt
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
