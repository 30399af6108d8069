#!/usr/bin/env bash
# Long bodies, more at once than memory holds. 1: the rule was broken, 0: it held, 2: it could not run.
cd "$(dirname "$0")" || exit 2
ROOT=$(cd ../.. && pwd) RECORD=$PWD/record.txt ../bin/memory
case $? in 0) exit 0 ;; 1) exit 1 ;; *) exit 2 ;; esac
