.PHONY: run test unit process bench lint
run:
	go run ./cmd/tarragongauge all

# Packages whose tests run whole processes. They run few at a time and without the
# race detector, since their leases and timeouts are those of production.
PROCESS = ./cmd/tarragongauge ./internal/node ./internal/soak

# Tests with an entry "- red-test: NAME" in KNOWN-RED.txt are passed over, and only these.
RED = $(shell sed -n 's/^- red-test: \([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
SKIP = $(if $(RED),-skip '^($(RED))$$')

test: unit process

# Some tests run only in part with the race detector: random schedules, hours without
# control and the trial of targets. Their packages run again without it.
unit:
	go test -race $(SKIP) $$(go list ./... | grep -v -e /cmd/tarragongauge -e /internal/node -e /internal/soak)
	go test $(SKIP) ./internal/ctrl ./internal/lease ./internal/trial

process:
	go test -p 1 -parallel 2 $(SKIP) $(PROCESS)

bench:
	go test -run NONE -bench . ./internal/...

lint:
	.bin/golangci-lint run ./...
