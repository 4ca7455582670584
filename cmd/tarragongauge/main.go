// Command tarragongauge runs every process of the proxy fleet and its operators' tools.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	// A hangup, for example of the terminal, would otherwise end a process at once
	// and with it the requests in flight.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	code := run(ctx, os.Args[1:], app{in: os.Stdin, out: os.Stdout, errOut: os.Stderr, procs: includedProcesses()})
	stop()
	os.Exit(int(code))
}
