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
	operatorToken     = "token-of-the-soak-0123456789abcdef"
	controlHosts      = 3
	entryHosts        = 4
	targetsPerService = 3
	lookupService     = "lookups"
	orderService      = "orders"
	floodRate         = 20
	floodBurst        = 20
)

// fleet holds the processes under test with their targets and the proxies through
// which connections pass.
type fleet struct {
	t    *testing.T
	bin  string
	dir  string
	ip   string
	tree *super.Tree
	// callerProxies pass connections of callers on to the entry hosts, targetProxies
	// those of entry hosts to the targets.
	callerProxies []*proxy
	targetProxies []*proxy
	targets       []*stub.Target

	mu sync.Mutex
	// procs holds the running processes by host name. restarting holds the names of
	// hosts that are being restarted. Both are guarded by mu.
	procs      map[string]*exec.Cmd
	restarting map[string]bool
}

// beginRestart marks a host as restarting until endRestart. It returns false if the
// host is being restarted already.
func (f *fleet) beginRestart(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.restarting[name] {
		return false
	}
	f.restarting[name] = true
	return true
}

// endRestart allows the next restart of a host.
func (f *fleet) endRestart(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.restarting, name)
}

// addr returns the address of port kind of the i-th process of that kind.
func (f *fleet) addr(kind, i int) string { return fmt.Sprintf("%s:%d", f.ip, 20000+100*kind+i) }

// Kinds of ports, the first argument of addr.
const (
	portFleet = iota
	portOperators
	portEntryFleet
	portEntryOperators
	portCallers
	portAnnounce
	portCallerProxy
	portTarget
	portTargetProxy
)

// peers returns a settings value that names n hosts with their addresses.
func (f *fleet) peers(kind, n int, prefix string) string {
	var list []string
	for i := 1; i <= n; i++ {
		list = append(list, fmt.Sprintf("%s%d=%s", prefix, i, f.addr(kind, i)))
	}
	return strings.Join(list, ", ")
}

// newFleet starts three control hosts, four entry hosts, of which three are seats,
// and the proxies before the entry hosts. startTargets starts the targets. The
// address depends on the process and the seed, so that concurrent runs do not
// share ports.
func newFleet(t *testing.T, bin string, seed uint64) *fleet {
	t.Helper()
	pid := os.Getpid()
	f := &fleet{t: t, bin: bin, dir: t.TempDir(), procs: map[string]*exec.Cmd{}, restarting: map[string]bool{}}
	f.ip = fmt.Sprintf("127.%d.%d.%d", 100+pid/250%100, 1+pid%250, 1+seed%250)
	tree, stop := super.New("soak")
	t.Cleanup(stop)
	f.tree = tree
	f.writeSettings()
	t.Cleanup(f.killAll)
	for _, name := range f.hostNames() {
		f.start(name)
	}
	for i := 1; i <= entryHosts; i++ {
		f.callerProxies = append(f.callerProxies, newProxy(t, tree, f.addr(portCallerProxy, i), f.addr(portCallers, i)))
	}
	return f
}

// hostNames returns the names of the control hosts, then of the entry hosts.
func (f *fleet) hostNames() []string {
	var names []string
	for i := 1; i <= controlHosts; i++ {
		names = append(names, fmt.Sprintf("c%d", i))
	}
	for i := 1; i <= entryHosts; i++ {
		names = append(names, fmt.Sprintf("e%d", i))
	}
	return names
}

// writeSettings writes the settings files, secrets and data folders of all hosts and
// the settings of the operators' client.
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

// start starts the process of a host and appends its output to a log file beside its
// settings.
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

// stop sends a signal that ends the process of a host and waits for its end.
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

// signal sends a signal that does not end the process of a host, such as SIGSTOP.
func (f *fleet) signal(name string, sig syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cmd := f.procs[name]; cmd != nil {
		_ = cmd.Process.Signal(sig)
	}
}

// killAll ends all processes.
func (f *fleet) killAll() {
	for _, name := range f.hostNames() {
		f.stop(name, syscall.SIGKILL)
	}
}

// command runs an operator command and returns its output.
func (f *fleet) command(args ...string) (string, error) {
	cmd := exec.Command(f.bin, args...)
	cmd.Dir, cmd.Env = f.dir, append(os.Environ(), "TARRAGONGAUGE_SETTINGS=client.ini")
	out, err := cmd.Output()
	return strings.TrimSpace(string(out)), err
}

// mustCommand repeats an operator command until it succeeds. The test fails after 30
// seconds.
func (f *fleet) mustCommand(args ...string) string {
	f.t.Helper()
	var out string
	require.Eventually(f.t, func() bool {
		var err error
		out, err = f.command(args...)
		return err == nil
	}, 30*time.Second, 200*time.Millisecond, "%v", args)
	return out
}

// newOperatorClient returns a client of the operator API of all control hosts.
func (f *fleet) newOperatorClient() *client.Client {
	var addrs []client.Address
	for i := 1; i <= controlHosts; i++ {
		addrs = append(addrs, client.Address{Host: model.HostID(fmt.Sprintf("c%d", i)), Addr: f.addr(portOperators, i)})
	}
	c, err := client.New(addrs, operatorToken, client.WithTimeout(time.Second))
	require.NoError(f.t, err)
	return c
}

// defaultBehavior returns the behavior of a target without an injected fault. A few
// answers are lost, so that every seed has requests with an unknown outcome.
func defaultBehavior() stub.Behavior {
	return stub.Behavior{DelayMS: 5, Slots: 8, DropShare: 0.03, Health: stub.HealthReportHealthy}
}

// proxiedListener is a listener whose Addr is that of the proxy before it, so that a
// target announces the address of its proxy.
type proxiedListener struct {
	net.Listener
	addr net.Addr
}

// Addr returns the address of the proxy.
func (l proxiedListener) Addr() net.Addr { return l.addr }

// startTargets starts the targets of both services behind proxies. They run until ctx
// ends.
func (f *fleet) startTargets(ctx context.Context) {
	var entries []string
	for i := 1; i <= entryHosts; i++ {
		entries = append(entries, "http://"+f.addr(portAnnounce, i))
	}
	for i := range 2 * targetsPerService {
		service := []string{lookupService, orderService}[i%2]
		name := fmt.Sprintf("%s-%d", service, i)
		target, err := stub.NewTarget(name, stub.WithSeed(uint64(i)), stub.WithBehavior(defaultBehavior()))
		require.NoError(f.t, err)
		runner, err := stub.NewRunner(target, stub.Registration{
			EntryURLs: entries, Service: service, Target: name, Zone: fmt.Sprintf("z%d", i%3+1), Secret: "secret-of-the-targets-0123456789", Slots: 8, Incarnation: 1,
		})
		require.NoError(f.t, err)
		l, err := net.Listen("tcp", f.addr(portTarget, i))
		require.NoError(f.t, err)
		targetProxy := newProxy(f.t, f.tree, f.addr(portTargetProxy, i), f.addr(portTarget, i))
		f.targets, f.targetProxies = append(f.targets, target), append(f.targetProxies, targetProxy)
		f.tree.Go(name, func(context.Context) error {
			_ = runner.Run(ctx, proxiedListener{Listener: l, addr: targetProxy.listener.Addr()})
			return nil
		})
	}
}
