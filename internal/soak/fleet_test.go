package soak

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/stub"
	"tarragongauge.example/tarragongauge/internal/super"
	"tarragongauge.example/tarragongauge/pkg/client"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	operatorToken = "token-of-the-soak-0123456789abcdef"
	controlHosts  = 3
	entryHosts    = 4
	targetsEach   = 3
	lookups       = "lookups"
	orders        = "orders"
	floodRate     = 20
	floodBurst    = 20
)

// fleet is the programs under test with what surrounds them.
type fleet struct {
	t    *testing.T
	bin  string
	dir  string
	ip   string
	tree *super.Tree
	// fronts stand before the callers' ports, backs before the targets.
	fronts  []*proxy
	backs   []*proxy
	targets []*stub.Target

	mu sync.Mutex
	// procs holds the running processes by name, claimed those that are being restarted.
	procs   map[string]*exec.Cmd
	claimed map[string]bool
}

// claim reports whether nothing else restarts a host, until release.
func (f *fleet) claim(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.claimed[name] {
		return false
	}
	f.claimed[name] = true
	return true
}

func (f *fleet) release(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.claimed, name)
}

func (f *fleet) addr(kind, i int) string { return fmt.Sprintf("%s:%d", f.ip, 20000+100*kind+i) }

// Kinds of ports.
const (
	portFleet = iota
	portOperators
	portEntryFleet
	portEntryOperators
	portCallers
	portAnnounce
	portFront
	portTarget
	portBack
)

func (f *fleet) peers(kind, n int, prefix string) string {
	var list []string
	for i := 1; i <= n; i++ {
		list = append(list, fmt.Sprintf("%s%d=%s", prefix, i, f.addr(kind, i)))
	}
	return strings.Join(list, ", ")
}

// newFleet starts three control hosts, four entry hosts of which three are
// seats, and six targets.
func newFleet(t *testing.T, bin string, seed uint64) *fleet {
	t.Helper()
	pid := os.Getpid()
	f := &fleet{t: t, bin: bin, dir: t.TempDir(), procs: map[string]*exec.Cmd{}, claimed: map[string]bool{}}
	f.ip = fmt.Sprintf("127.%d.%d.%d", 100+pid/250%100, 1+pid%250, 1+seed%250)
	tree, stop := super.New("soak")
	t.Cleanup(stop)
	f.tree = tree
	f.writeSettings()
	t.Cleanup(f.killAll)
	for _, name := range f.hosts() {
		f.start(name)
	}
	for i := 1; i <= entryHosts; i++ {
		f.fronts = append(f.fronts, newProxy(t, tree, f.addr(portFront, i), f.addr(portCallers, i)))
	}
	return f
}

func (f *fleet) hosts() []string {
	var names []string
	for i := 1; i <= controlHosts; i++ {
		names = append(names, fmt.Sprintf("c%d", i))
	}
	for i := 1; i <= entryHosts; i++ {
		names = append(names, fmt.Sprintf("e%d", i))
	}
	return names
}

func (f *fleet) writeSettings() {
	controls := f.peers(portFleet, controlHosts, "c")
	shared := fmt.Sprintf("[fleet]\nname = soak\nsecret_file = fleet.secret\ncontrols = %s\nseats = %s\njournals = %s\n",
		controls, f.peers(portEntryFleet, entryHosts-1, "e"), controls)
	files := map[string]string{
		"fleet.secret": "secret-of-the-fleet-0123456789", "announce.secret": "secret-of-the-targets-0123456789", "token": operatorToken,
		"client.ini": fmt.Sprintf("[client]\naddresses = %s\ntoken_file = token\n", f.peers(portOperators, controlHosts, "c")),
	}
	for i := 1; i <= controlHosts; i++ {
		name := fmt.Sprintf("c%d", i)
		files[name+".ini"] = fmt.Sprintf("[host]\nname = %s\nzone = z%d\ndata_dir = %s\n[listen]\nfleet = %s\noperators = %s\n%s[control]\ncreate_fleet = true\n[operators]\ntokens = soak:%x\n",
			name, i, name, f.addr(portFleet, i), f.addr(portOperators, i), shared, sha256.Sum256([]byte(operatorToken)))
		require.NoError(f.t, os.Mkdir(filepath.Join(f.dir, name), 0o700))
	}
	for i := 1; i <= entryHosts; i++ {
		files[fmt.Sprintf("e%d.ini", i)] = fmt.Sprintf("[host]\nname = e%d\nzone = z%d\n[listen]\ncallers = %s\nannounce = %s\nfleet = %s\noperators = %s\n%s",
			i, i%3+1, f.addr(portCallers, i), f.addr(portAnnounce, i), f.addr(portEntryFleet, i), f.addr(portEntryOperators, i), shared)
	}
	for name, text := range files {
		require.NoError(f.t, os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600))
	}
}

// start starts a host; its output is kept beside its settings.
func (f *fleet) start(name string) {
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	defer func() { require.NoError(f.t, log.Close()) }()
	role := map[byte]string{'c': "control", 'e': "entry"}[name[0]]
	cmd := exec.Command(f.bin, role, "--settings", name+".ini")
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.dir, log, log
	require.NoError(f.t, cmd.Start())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.procs[name] = cmd
}

// stop sends a signal that ends a host and waits for its end.
func (f *fleet) stop(name string, sig syscall.Signal) {
	f.mu.Lock()
	cmd := f.procs[name]
	delete(f.procs, name)
	f.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(sig)
		_ = cmd.Wait()
	}
}

// signal sends a signal that does not end a host.
func (f *fleet) signal(name string, sig syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cmd := f.procs[name]; cmd != nil {
		_ = cmd.Process.Signal(sig)
	}
}

func (f *fleet) killAll() {
	for _, name := range f.hosts() {
		f.stop(name, syscall.SIGKILL)
	}
}

// command runs an operators' command and returns its output.
func (f *fleet) command(args ...string) (string, error) {
	cmd := exec.Command(f.bin, args...)
	cmd.Dir, cmd.Env = f.dir, append(os.Environ(), "TARRAGONGAUGE_SETTINGS=client.ini")
	out, err := cmd.Output()
	return strings.TrimSpace(string(out)), err
}

// must repeats an operators' command until it succeeds.
func (f *fleet) must(args ...string) string {
	f.t.Helper()
	var out string
	require.Eventually(f.t, func() bool {
		var err error
		out, err = f.command(args...)
		return err == nil
	}, 30*time.Second, 200*time.Millisecond, "%v", args)
	return out
}

func (f *fleet) operators() *client.Client {
	var addrs []client.Address
	for i := 1; i <= controlHosts; i++ {
		addrs = append(addrs, client.Address{Host: model.HostID(fmt.Sprintf("c%d", i)), Addr: f.addr(portOperators, i)})
	}
	c, err := client.New(addrs, operatorToken, client.WithTimeout(time.Second))
	require.NoError(f.t, err)
	return c
}

// calm is the behavior of a target without an injected fault: some answers are
// lost, so that every seed has requests of which nobody knows whether they ran.
func calm() stub.Behavior {
	return stub.Behavior{DelayMS: 5, Slots: 8, DropShare: 0.03, Health: stub.HealthReportHealthy}
}

// behind is a listener that names the address of the proxy before it.
type behind struct {
	net.Listener
	addr net.Addr
}

func (b behind) Addr() net.Addr { return b.addr }

// startTargets starts the targets of both services behind proxies.
func (f *fleet) startTargets(ctx context.Context) {
	var entries []string
	for i := 1; i <= entryHosts; i++ {
		entries = append(entries, "http://"+f.addr(portAnnounce, i))
	}
	for i := range 2 * targetsEach {
		service := []string{lookups, orders}[i%2]
		name := fmt.Sprintf("%s-%d", service, i)
		target, err := stub.NewTarget(name, stub.WithSeed(uint64(i)), stub.WithBehavior(calm()))
		require.NoError(f.t, err)
		runner, err := stub.NewRunner(target, stub.Registration{
			EntryURLs: entries, Service: service, Target: name, Zone: fmt.Sprintf("z%d", i%3+1), Secret: "secret-of-the-targets-0123456789", Slots: 8, Incarnation: 1,
		})
		require.NoError(f.t, err)
		l, err := net.Listen("tcp", f.addr(portTarget, i))
		require.NoError(f.t, err)
		back := newProxy(f.t, f.tree, f.addr(portBack, i), f.addr(portTarget, i))
		f.targets, f.backs = append(f.targets, target), append(f.backs, back)
		f.tree.Go(name, func(context.Context) error {
			_ = runner.Run(ctx, behind{Listener: l, addr: back.listener.Addr()})
			return nil
		})
	}
}
