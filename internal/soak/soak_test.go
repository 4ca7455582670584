package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/stub"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Environment variables of a manual run.
const (
	// seedsVariable holds the seeds to run, as numbers and ranges such as 7,100-149.
	seedsVariable = "SOAK_SEEDS"
	// faultTimeVariable holds the duration for which faults are injected for each seed.
	faultTimeVariable = "SOAK_TIME"
	// logDirVariable holds the folder to which the logs of failed seeds are copied.
	logDirVariable = "SOAK_KEEP"
)

// defaultFaultTime is short to keep CI fast.
const defaultFaultTime = 12 * time.Second

// regressionSeeds returns the seeds that run by default, because they failed once:
//   - 1: a restarted control host returned an empty or older configuration before it
//     knew which entries of its log were accepted.
func regressionSeeds() []uint64 { return []uint64{1} }

// seeds returns the seeds of the environment, or regressionSeeds if it sets none.
func seeds(t *testing.T) []uint64 {
	text := os.Getenv(seedsVariable)
	if text == "" {
		return regressionSeeds()
	}
	var list []uint64
	for part := range strings.SplitSeq(text, ",") {
		from, to, ranged := strings.Cut(part, "-")
		first, err := strconv.ParseUint(from, 10, 64)
		require.NoError(t, err, seedsVariable)
		last := first
		if ranged {
			last, err = strconv.ParseUint(to, 10, 64)
			require.NoError(t, err, seedsVariable)
		}
		for ; first <= last; first++ {
			list = append(list, first)
		}
	}
	return list
}

// faultTime returns the duration of the environment, or defaultFaultTime if it sets
// none.
func faultTime(t *testing.T) time.Duration {
	text := os.Getenv(faultTimeVariable)
	if text == "" {
		return defaultFaultTime
	}
	d, err := time.ParseDuration(text)
	require.NoError(t, err, faultTimeVariable)
	return d
}

// Guards against guarantees that break only while processes, connections and disks
// fail together: orders that run twice, requests that ran although the answer says
// not_run, answers that are incomplete or belong to another request, requests of
// withdrawn workspaces that still run, rates that are exceeded, and accepted changes
// that are lost or followed by a read of an older version.
func TestSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "tarragongauge")
	out, err := exec.Command("go", "build", "-o", bin, "tarragongauge.example/tarragongauge/cmd/tarragongauge").CombinedOutput()
	require.NoError(t, err, "%s", out)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSeed(t, bin, seed, faultTime(t)) })
	}
}

// runSeed starts a fleet, injects the faults of a seed for the duration d while callers
// send requests, and checks the guarantees afterwards.
func runSeed(t *testing.T, bin string, seed uint64, d time.Duration) {
	f := newFleet(t, bin, seed)
	run := &soakRun{f: f, r: rand.New(rand.NewPCG(seed, 1)), callers: newCallers(f)}
	t.Cleanup(func() { saveLogs(t, f, seed) })
	for _, service := range []string{lookupService, orderService} {
		f.mustCommand("service", "put", service, "--secret-file", "announce.secret")
	}
	f.mustCommand("route", "put", "stock", "--prefix", "/stock", "--service", lookupService, "--idempotent")
	f.mustCommand("route", "put", "order", "--prefix", "/order", "--service", orderService, "--require-order-key")
	f.mustCommand("workspace", "create", "flood")
	f.mustCommand("exception", "put", "flood", "--workspace", "flood", "--rate", strconv.Itoa(floodRate), "--burst", strconv.Itoa(floodBurst), "--reason", "soak")
	run.shopKey = run.createWorkspace("shop")
	flood := lastLine(f.mustCommand("key", "issue", "flood", "key"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.startTargets(ctx)
	run.waitUntilServed(t, 30*time.Second)

	load, stopLoad := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for i, task := range []func(r *rand.Rand){
		func(r *rand.Rand) { run.callers.sendLookups(load, r, "shop", run.shopKey, 30*time.Millisecond) },
		func(r *rand.Rand) { run.callers.sendLookups(load, r, "shop", run.shopKey, 30*time.Millisecond) },
		func(r *rand.Rand) { run.callers.sendOrders(load, r, "shop", run.shopKey) },
		func(r *rand.Rand) { run.callers.sendOrders(load, r, "shop", run.shopKey) },
		func(r *rand.Rand) { run.callers.sendLookups(load, r, "flood", flood, 20*time.Millisecond) },
		func(r *rand.Rand) { run.callers.sendLookups(load, r, "flood", flood, 20*time.Millisecond) },
		func(r *rand.Rand) { run.callers.sendLookups(load, r, "flood", flood, 20*time.Millisecond) },
		func(r *rand.Rand) { run.withdrawWorkspaces(load, r) },
		func(*rand.Rand) { run.readVersions(load) },
	} {
		wait.Add(1)
		f.tree.Go(fmt.Sprint("load ", i), func(context.Context) error {
			defer wait.Done()
			task(rand.New(rand.NewPCG(seed, uint64(2+i))))
			return nil
		})
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		run.injectFault(t)
		time.Sleep(time.Duration(run.r.Int64N(int64(1200 * time.Millisecond))))
	}
	run.endFaults()
	run.waitUntilServed(t, 30*time.Second)
	time.Sleep(withdrawalTimeout)
	stopLoad()
	wait.Wait()

	collectEvidence(f, run.callers).check(&run.violations, run.withdrawn)
	run.checkWorkspaces()
	ok := 0
	for _, s := range run.callers.attemptsSoFar() {
		if s.status == http.StatusOK {
			ok++
		}
	}
	t.Logf("seed %d: %d requests, %d served, %d faults, %d withdrawals", seed, len(run.callers.attemptsSoFar()), ok, run.faultCount, len(run.withdrawn))
	require.Empty(t, run.violations.list, "seed %d", seed)
}

// soakRun holds the state of the run of one seed.
type soakRun struct {
	f          *fleet
	r          *rand.Rand
	callers    *callers
	shopKey    string
	faultCount int
	violations violations

	mu sync.Mutex
	// withdrawn is guarded by mu while withdrawWorkspaces runs. newestVersion is used
	// only by readVersions.
	withdrawn     []withdrawal
	newestVersion model.Version
}

// createWorkspace creates a workspace with a key and returns the key.
func (x *soakRun) createWorkspace(workspace string) string {
	x.f.mustCommand("workspace", "create", workspace)
	return lastLine(x.f.mustCommand("key", "issue", workspace, "key"))
}

// lastLine returns the last line of a command's output, which is the key if the
// command issues one.
func lastLine(out string) string { return out[strings.LastIndexByte(out, '\n')+1:] }

// waitUntilServed waits until a lookup is served. The test fails after the timeout.
func (x *soakRun) waitUntilServed(t *testing.T, timeout time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool {
		s := x.callers.call(context.Background(), 1+x.r.IntN(entryHosts), http.MethodGet, fmt.Sprintf("/stock/probe/%d", x.callers.nextNumber()), "shop", x.shopKey, "")
		return s.status == http.StatusOK
	}, timeout, 200*time.Millisecond, "lookups are not served")
}

// withdrawWorkspaces creates workspaces one after another until ctx ends. For each
// workspace, lookups are sent from its creation until the withdrawal must be in force.
// The withdrawal follows after about a second.
func (x *soakRun) withdrawWorkspaces(ctx context.Context, r *rand.Rand) {
	for n := 1; ; n++ {
		name := fmt.Sprintf("gone-%d", n)
		if _, err := x.f.command("workspace", "create", name); err != nil {
			if !sleepRandom(ctx, r, 300*time.Millisecond) {
				return
			}
			continue
		}
		key, err := x.f.command("key", "issue", name, "key")
		if err != nil {
			continue
		}
		lookupCtx, stop := context.WithCancel(ctx)
		x.f.tree.Go(name, func(context.Context) error {
			x.callers.sendLookups(lookupCtx, rand.New(rand.NewPCG(uint64(n), 9)), name, lastLine(key), 40*time.Millisecond)
			return nil
		})
		running := sleepRandom(ctx, r, time.Second)
		for running {
			if _, err := x.f.command("workspace", "withdraw", name); err == nil {
				x.mu.Lock()
				x.withdrawn = append(x.withdrawn, withdrawal{workspace: name, acceptedAt: time.Now()})
				x.mu.Unlock()
				break
			}
			running = sleepRandom(ctx, r, 300*time.Millisecond)
		}
		if !running || !sleepRandom(ctx, r, 2*time.Second) {
			stop()
			return
		}
		x.f.tree.Go(name+" end", func(context.Context) error {
			time.Sleep(withdrawalTimeout + time.Second)
			stop()
			return nil
		})
	}
}

// readVersions reads the newest version repeatedly until ctx ends and reports a
// version that is older than one that was read before.
func (x *soakRun) readVersions(ctx context.Context) {
	operators := x.f.newOperatorClient()
	for ctx.Err() == nil {
		before := x.newestVersion
		got, err := operators.Version(ctx)
		if err == nil && got < before {
			x.violations.add("version %d was read after %d", got, before)
		}
		if err == nil {
			x.newestVersion = max(x.newestVersion, got)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkWorkspaces checks at the end of a run that control still lists the workspaces
// that were created, and that a withdrawn workspace is not served.
func (x *soakRun) checkWorkspaces() {
	list := x.f.mustCommand("workspace", "list", "-o", "json")
	for _, name := range []string{"shop", "flood"} {
		if !strings.Contains(list, `"`+name+`"`) {
			x.violations.add("workspace %s is gone: %s", name, list)
		}
	}
	for _, w := range x.withdrawn {
		if s := x.callers.call(context.Background(), 1, http.MethodGet, "/stock/late/"+w.workspace, w.workspace, "any", ""); s.status == http.StatusOK {
			x.violations.add("workspace %s is served after its withdrawal", w.workspace)
		}
	}
}

// injectFault injects one random fault, which ends by itself after a random time.
// Faults may overlap.
func (x *soakRun) injectFault(t *testing.T) {
	x.faultCount++
	hosts := x.f.hostNames()
	name := hosts[x.r.IntN(len(hosts))]
	down := time.Duration(x.r.Int64N(int64(3 * time.Second)))
	proxies := append(append([]*proxy(nil), x.f.callerProxies...), x.f.targetProxies...)
	p := proxies[x.r.IntN(len(proxies))]
	kind := x.r.IntN(10)
	t.Logf("%s fault %d on %s or %s for %s", time.Now().Format("05.000"), kind, name, p.listener.Addr(), down)
	switch kind {
	case 0, 1:
		x.restart(name, syscall.SIGKILL, down, nil)
	case 2:
		x.restart(name, syscall.SIGTERM, down, nil)
	case 3, 4:
		x.f.signal(name, syscall.SIGSTOP)
		x.repairAfter(2*down, func() { x.f.signal(name, syscall.SIGCONT) })
	case 5:
		x.restart(name, syscall.SIGKILL, down, func() { appendTornRecords(filepath.Join(x.f.dir, name)) })
	case 6:
		p.resetAll()
	case 7, 8:
		p.fault.Store(int32(faultDelay) + x.r.Int32N(int32(faultDropAll)))
		x.repairAfter(down, func() { p.fault.Store(int32(faultNone)) })
	default:
		target := x.f.targets[x.r.IntN(len(x.f.targets))]
		modes := []stub.Behavior{{ErrorShare: 0.5}, {DropShare: 0.3}, {ShedShare: 0.5}, {DelayMS: 800}, {WrongShare: 0.4, Wrong: stub.WrongTruncated}, {WrongShare: 0.4, Wrong: stub.WrongStray}, {WrongShare: 0.4, Wrong: stub.WrongID}}
		mode := modes[x.r.IntN(len(modes))]
		mode.Slots, mode.Health = 8, stub.HealthReportHealthy
		_ = target.SetBehavior(mode)
		x.repairAfter(2*down, func() { _ = target.SetBehavior(defaultBehavior()) })
	}
}

// repairAfter calls repair after a delay, without waiting for it.
func (x *soakRun) repairAfter(delay time.Duration, repair func()) {
	x.f.tree.Go("repair", func(context.Context) error {
		time.Sleep(delay)
		repair()
		return nil
	})
}

// restart ends the process of a host and starts it again after the time down, without
// waiting for it. whileDown, if not nil, runs while the process is stopped. A host
// that is being restarted already is skipped.
func (x *soakRun) restart(name string, sig syscall.Signal, down time.Duration, whileDown func()) {
	x.f.tree.Go("restart "+name, func(context.Context) error {
		if !x.f.beginRestart(name) {
			return nil
		}
		defer x.f.endRestart(name)
		x.f.signal(name, syscall.SIGCONT)
		x.f.stop(name, sig)
		if whileDown != nil {
			whileDown()
		}
		time.Sleep(down)
		x.f.start(name)
		return nil
	})
}

// appendTornRecords appends an incomplete record to each log in a data folder, as a
// power loss during a write leaves it.
func appendTornRecords(dir string) {
	logs, _ := filepath.Glob(filepath.Join(dir, "*", "log-*"))
	for _, path := range logs {
		f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
		if err != nil {
			continue
		}
		_, _ = f.Write([]byte{3, 0, 0})
		_ = f.Close()
	}
}

// endFaults ends the faults of proxies and targets, waits longer than any restart or
// pause that was scheduled, and resumes all stopped processes.
func (x *soakRun) endFaults() {
	for _, p := range append(append([]*proxy(nil), x.f.callerProxies...), x.f.targetProxies...) {
		p.fault.Store(int32(faultNone))
	}
	for _, t := range x.f.targets {
		_ = t.SetBehavior(defaultBehavior())
	}
	time.Sleep(7 * time.Second)
	for _, name := range x.f.hostNames() {
		x.f.signal(name, syscall.SIGCONT)
	}
}

// saveLogs copies the logs of a failed seed to the folder that the environment names.
func saveLogs(t *testing.T, f *fleet, seed uint64) {
	dir := os.Getenv(logDirVariable)
	if dir == "" || !t.Failed() {
		return
	}
	to := filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
	logs, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	_ = os.MkdirAll(to, 0o700)
	for _, log := range logs {
		if data, err := os.ReadFile(log); err == nil {
			_ = os.WriteFile(filepath.Join(to, filepath.Base(log)), data, 0o600)
		}
	}
}
