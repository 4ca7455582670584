package main

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/internal/node"
	"tarragongauge.example/tarragongauge/internal/stub"
)

// targetDrainTime is the time for which a stub target still accepts requests after
// it has announced that it is draining.
const targetDrainTime = 3 * time.Second

// includedProcesses returns the processes and tools of the released binary.
func includedProcesses() processes {
	return processes{
		control: node.RunControl,
		entry:   node.RunEntry,
		journal: node.RunJournal,
		seat:    node.RunSeat,
		target:  runTarget,
		burn:    writeBurn,
		load:    runLoad,
		all: func(ctx context.Context, c conf.All, log logr.Logger) error {
			return node.RunAll(ctx, c, log, os.Stdout)
		},
	}
}

// runTarget runs a stub target until ctx is done. A request that matches the
// target's crash pattern exits the process with code 1.
func runTarget(ctx context.Context, c conf.Target, log logr.Logger) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.Addr)
	if err != nil {
		return eris.Wrapf(err, "listen on %s; choose an address of this host that is free", c.Addr)
	}
	behavior := stub.Behavior{DelayMS: int(c.Latency.Milliseconds())}
	target, err := stub.NewTarget(string(c.Target), stub.WithBehavior(behavior), stub.WithExit(func() { os.Exit(1) }))
	if err != nil {
		return err
	}
	reg := stub.Registration{
		Service: string(c.Service), Target: string(c.Target), Zone: string(c.Zone), Secret: string(c.Secret.Reveal()),
		Slots: c.Slots, Incarnation: uint64(time.Now().UnixMicro()), DrainTime: targetDrainTime,
		Log: func(text string) { log.Info(text) },
	}
	for _, addr := range c.Announce {
		reg.EntryURLs = append(reg.EntryURLs, "http://"+addr)
	}
	runner, err := stub.NewRunner(target, reg)
	if err != nil {
		return err
	}
	log.Info("target started", "service", c.Service, "target", c.Target, "addr", c.Addr)
	return runner.Run(ctx, l)
}
