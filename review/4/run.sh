#!/usr/bin/env bash
exec "$(dirname "$0")/../standin/case.sh" busy-statement "$(cd "$(dirname "$0")" && pwd)"
