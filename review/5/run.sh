#!/usr/bin/env bash
# Shows case 5; with TROUBLE=0 it does the same without the disruption.
exec bash "$(dirname "$0")/../run-case.sh" 5
