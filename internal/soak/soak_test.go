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

// Environment of a run by hand.
const (
	// seedsVariable lists seeds and ranges, such as 7,100-149.
	seedsVariable = "SOAK_SEEDS"
	// timeVariable is how long faults are injected for each seed.
	timeVariable = "SOAK_TIME"
	// keepVariable is a folder for the logs of failed seeds.
	keepVariable = "SOAK_KEEP"
)

// defaultTime keeps a run in CI short.
const defaultTime = 12 * time.Second

// regressions are the seeds that failed once, with a line on the cause each.
func regressions() []uint64 { return []uint64{1} }

func seeds(t *testing.T) []uint64 {
	text := os.Getenv(seedsVariable)
	if text == "" {
		return regressions()
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

func faultTime(t *testing.T) time.Duration {
	text := os.Getenv(timeVariable)
	if text == "" {
		return defaultTime
	}
	d, err := time.ParseDuration(text)
	require.NoError(t, err, timeVariable)
	return d
}

// Guards against promises that break only while processes, connections and
// disks fail together: orders that run twice, false "not run", foreign or cut
// answers, withdrawn workspaces that go on, rates that are exceeded, and
// accepted changes that are lost or read back older.
func TestSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "tarragongauge")
	out, err := exec.Command("go", "build", "-o", bin, "tarragongauge.example/tarragongauge/cmd/tarragongauge").CombinedOutput()
	require.NoError(t, err, "%s", out)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, bin, seed, faultTime(t)) })
	}
}

func soak(t *testing.T, bin string, seed uint64, d time.Duration) {
	f := newFleet(t, bin, seed)
	run := &run{f: f, r: rand.New(rand.NewPCG(seed, 1)), callers: newCallers(f)}
	t.Cleanup(func() { keepLogs(t, f, seed) })
	for _, service := range []string{lookups, orders} {
		f.must("service", "put", service, "--secret-file", "announce.secret")
	}
	f.must("route", "put", "stock", "--prefix", "/stock", "--service", lookups, "--idempotent")
	f.must("route", "put", "order", "--prefix", "/order", "--service", orders, "--require-order-key")
	f.must("workspace", "create", "flood")
	f.must("exception", "put", "flood", "--workspace", "flood", "--rate", strconv.Itoa(floodRate), "--burst", strconv.Itoa(floodBurst), "--reason", "soak")
	run.shop = run.create("shop")
	flood := lastLine(f.must("key", "issue", "flood", "key"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.startTargets(ctx)
	run.served(t, 30*time.Second)

	load, stopLoad := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for i, task := range []func(r *rand.Rand){
		func(r *rand.Rand) { run.callers.lookUp(load, r, "shop", run.shop, 30*time.Millisecond) },
		func(r *rand.Rand) { run.callers.lookUp(load, r, "shop", run.shop, 30*time.Millisecond) },
		func(r *rand.Rand) { run.callers.order(load, r, "shop", run.shop) },
		func(r *rand.Rand) { run.callers.order(load, r, "shop", run.shop) },
		func(r *rand.Rand) { run.callers.lookUp(load, r, "flood", flood, 20*time.Millisecond) },
		func(r *rand.Rand) { run.callers.lookUp(load, r, "flood", flood, 20*time.Millisecond) },
		func(r *rand.Rand) { run.callers.lookUp(load, r, "flood", flood, 20*time.Millisecond) },
		func(r *rand.Rand) { run.withdraw(load, r) },
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
		run.fault(t)
		time.Sleep(time.Duration(run.r.Int64N(int64(1200 * time.Millisecond))))
	}
	run.heal()
	run.served(t, 30*time.Second)
	time.Sleep(silentWithin)
	stopLoad()
	wait.Wait()

	gather(f, run.callers).check(&run.findings, run.withdrawn)
	run.checkKeys()
	ok := 0
	for _, s := range run.callers.taken() {
		if s.status == http.StatusOK {
			ok++
		}
	}
	t.Logf("seed %d: %d requests, %d served, %d faults, %d withdrawals", seed, len(run.callers.taken()), ok, run.faults, len(run.withdrawn))
	require.Empty(t, run.findings.list, "seed %d", seed)
}

// run is one seed.
type run struct {
	f        *fleet
	r        *rand.Rand
	callers  *callers
	shop     string
	faults   int
	findings findings

	mu sync.Mutex
	// withdrawn, issued and newest are guarded by mu.
	withdrawn []withdrawal
	newest    model.Version
}

// create creates a workspace with a key and returns the key.
func (x *run) create(workspace string) string {
	x.f.must("workspace", "create", workspace)
	return lastLine(x.f.must("key", "issue", workspace, "key"))
}

// lastLine returns the key from the output of the command that issues it.
func lastLine(out string) string { return out[strings.LastIndexByte(out, '\n')+1:] }

// served waits until lookups are served again.
func (x *run) served(t *testing.T, within time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool {
		s := x.callers.call(context.Background(), 1+x.r.IntN(entryHosts), http.MethodGet, fmt.Sprintf("/stock/probe/%d", x.callers.number()), "shop", x.shop, "")
		return s.status == http.StatusOK
	}, within, 200*time.Millisecond, "lookups are not served")
}

// withdraw creates workspaces that send lookups and are withdrawn after some seconds.
func (x *run) withdraw(ctx context.Context, r *rand.Rand) {
	for n := 1; ; n++ {
		name := fmt.Sprintf("gone-%d", n)
		if _, err := x.f.command("workspace", "create", name); err != nil {
			if !pause(ctx, r, 300*time.Millisecond) {
				return
			}
			continue
		}
		key, err := x.f.command("key", "issue", name, "key")
		if err != nil {
			continue
		}
		using, stop := context.WithCancel(ctx)
		x.f.tree.Go(name, func(context.Context) error {
			x.callers.lookUp(using, rand.New(rand.NewPCG(uint64(n), 9)), name, lastLine(key), 40*time.Millisecond)
			return nil
		})
		on := pause(ctx, r, time.Second)
		for on {
			if _, err := x.f.command("workspace", "withdraw", name); err == nil {
				x.mu.Lock()
				x.withdrawn = append(x.withdrawn, withdrawal{workspace: name, accepted: time.Now()})
				x.mu.Unlock()
				break
			}
			on = pause(ctx, r, 300*time.Millisecond)
		}
		if !on || !pause(ctx, r, 2*time.Second) {
			stop()
			return
		}
		x.f.tree.Go(name+" end", func(context.Context) error {
			time.Sleep(silentWithin + time.Second)
			stop()
			return nil
		})
	}
}

// readVersions reads the newest version again and again: it never goes back.
func (x *run) readVersions(ctx context.Context) {
	operators := x.f.operators()
	for ctx.Err() == nil {
		before := x.newest
		got, err := operators.Version(ctx)
		if err == nil && got < before {
			x.findings.add("version %d was read after %d", got, before)
		}
		if err == nil {
			x.newest = max(x.newest, got)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkKeys compares what was accepted with what control tells at the end.
func (x *run) checkKeys() {
	list := x.f.must("workspace", "list", "-o", "json")
	for _, name := range []string{"shop", "flood"} {
		if !strings.Contains(list, `"`+name+`"`) {
			x.findings.add("workspace %s is gone: %s", name, list)
		}
	}
	for _, w := range x.withdrawn {
		if s := x.callers.call(context.Background(), 1, http.MethodGet, "/stock/late/"+w.workspace, w.workspace, "any", ""); s.status == http.StatusOK {
			x.findings.add("workspace %s is served after its withdrawal", w.workspace)
		}
	}
}

// fault injects one fault. Faults end by themselves while others begin.
func (x *run) fault(t *testing.T) {
	x.faults++
	hosts := x.f.hosts()
	name := hosts[x.r.IntN(len(hosts))]
	down := time.Duration(x.r.Int64N(int64(3 * time.Second)))
	proxies := append(append([]*proxy(nil), x.f.fronts...), x.f.backs...)
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
		x.later(2*down, func() { x.f.signal(name, syscall.SIGCONT) })
	case 5:
		x.restart(name, syscall.SIGKILL, down, func() { tearLogs(filepath.Join(x.f.dir, name)) })
	case 6:
		p.reset()
	case 7, 8:
		p.fault.Store(int32(faultDelay) + x.r.Int32N(int32(faultSilence)))
		x.later(down, func() { p.fault.Store(int32(faultNone)) })
	default:
		target := x.f.targets[x.r.IntN(len(x.f.targets))]
		modes := []stub.Behavior{{ErrorShare: 0.5}, {DropShare: 0.3}, {ShedShare: 0.5}, {DelayMS: 800}, {WrongShare: 0.4, Wrong: stub.WrongTruncated}, {WrongShare: 0.4, Wrong: stub.WrongStray}, {WrongShare: 0.4, Wrong: stub.WrongID}}
		mode := modes[x.r.IntN(len(modes))]
		mode.Slots, mode.Health = 8, stub.HealthReportHealthy
		_ = target.SetBehavior(mode)
		x.later(2*down, func() { _ = target.SetBehavior(calm()) })
	}
}

func (x *run) later(after time.Duration, do func()) {
	x.f.tree.Go("repair", func(context.Context) error {
		time.Sleep(after)
		do()
		return nil
	})
}

// restart ends a host and starts it again, after something was done to its folder.
func (x *run) restart(name string, sig syscall.Signal, down time.Duration, do func()) {
	x.f.tree.Go("restart "+name, func(context.Context) error {
		if !x.f.claim(name) {
			return nil
		}
		defer x.f.release(name)
		x.f.signal(name, syscall.SIGCONT)
		x.f.stop(name, sig)
		if do != nil {
			do()
		}
		time.Sleep(down)
		x.f.start(name)
		return nil
	})
}

// tearLogs appends the start of a record to each log, as a power loss during a write leaves it.
func tearLogs(dir string) {
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

// heal ends all faults.
func (x *run) heal() {
	for _, p := range append(append([]*proxy(nil), x.f.fronts...), x.f.backs...) {
		p.fault.Store(int32(faultNone))
	}
	for _, t := range x.f.targets {
		_ = t.SetBehavior(calm())
	}
	time.Sleep(7 * time.Second)
	for _, name := range x.f.hosts() {
		x.f.signal(name, syscall.SIGCONT)
	}
}

func keepLogs(t *testing.T, f *fleet, seed uint64) {
	dir := os.Getenv(keepVariable)
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
