#!/usr/bin/env bash
exec "$(dirname "$0")/../standin/case.sh" busy-session "$(cd "$(dirname "$0")" && pwd)"
