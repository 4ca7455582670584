.PHONY: run test unit process bench lint
run:
	go run ./cmd/tarragongauge all

# Packages whose tests run whole processes. They run few at a time and without the
# race detector, since their leases and timeouts are those of production.
PROCESS = ./cmd/tarragongauge ./internal/node ./internal/soak

test: unit process

# Some tests run only in part with the race detector: random schedules, hours without
# control and the trial of targets. Their packages run again without it.
unit:
	go test -race $$(go list ./... | grep -v -e /cmd/tarragongauge -e /internal/node -e /internal/soak)
	go test ./internal/ctrl ./internal/lease ./internal/trial

process:
	go test -p 1 -parallel 2 $(PROCESS)

bench:
	go test -run NONE -bench . ./internal/...

lint:
	.bin/golangci-lint run ./...
