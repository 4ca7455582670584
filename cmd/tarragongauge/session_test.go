package main

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rogpeppe/go-internal/testscript"

	"tarragongauge.example/tarragongauge/internal/stub"
)

// realProcessesVariable is the environment variable that makes the test binary run
// the real processes instead of fakes.
const realProcessesVariable = "TARRAGONGAUGE_REAL_PROCESSES"

// TestSessions guards against parts that pass their own tests but fail together.
// Each script runs a fleet of separate processes of the real binary on loopback
// and compares their output with golden files.
func TestSessions(t *testing.T) {
	var sessions atomic.Int64
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/session",
		UpdateScripts: os.Getenv("UPDATE_GOLDEN") != "",
		Setup: func(env *testscript.Env) error {
			s := &session{
				procs: map[string]*exec.Cmd{}, ip: sessionIP(sessions.Add(1)),
				pool: pond.NewResultPool[string](maxBackgroundCalls), calls: map[string]pond.ResultTask[string]{},
			}
			env.Values[sessionKey{}] = s
			env.Defer(s.killAll)
			env.Setenv(realProcessesVariable, "1")
			env.Setenv("GORACE", "atexit_sleep_ms=0")
			env.Setenv(settingsVariable, "client.ini")
			env.Setenv("C4_FLEET", s.port(portControlFleet, 4))
			env.Setenv("C4_OPERATORS", s.port(portControlOperators, 4))
			return s.writeSettings(env.WorkDir)
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"start":      startProcess,
			"tls":        useTLS,
			"signal":     signalProcess,
			"call":       call,
			"eventually": eventually,
			"journal":    journal,
			"save":       save,
			"exits":      exits,
			"ended":      ended,
			"mode":       mode,
			"owner":      owner,
			"capacity":   capacity,
			"repeat":     repeat,
			"background": background,
			"steady":     steady,
			"answer":     answer,
			"capture":    capture,
			"leader":     leader,
			"submit":     submit,
			"submitted":  submitted,
		},
	})
}

// sessionKey is the key of the session in the values of a script.
type sessionKey struct{}

// session holds the processes of one script.
type session struct {
	// ip is a loopback address of the session's own, so that scripts can run in parallel.
	ip string
	// procs holds the running processes by the names of their settings.
	procs map[string]*exec.Cmd
	// pool runs calls in the background. calls holds them by name.
	pool  pond.ResultPool[string]
	calls map[string]pond.ResultTask[string]
}

// maxBackgroundCalls bounds the background calls of a script that run at once.
const maxBackgroundCalls = 16

// sessionIP returns the loopback address of session n, which differs between test
// processes that run at the same time.
func sessionIP(n int64) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 210+pid/250%40, 1+pid%250, 1+n%250)
}

// killAll kills the running processes and waits for the background calls.
func (s *session) killAll() {
	for _, p := range s.procs {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	s.pool.StopAndWait()
}

// port returns the ip:port of the i-th process for a kind of port.
func (s *session) port(kind, i int) string { return fmt.Sprintf("%s:%d", s.ip, 20000+100*kind+i) }

// Kinds of listening ports.
const (
	portControlFleet = iota
	portControlOperators
	portCallers
	portAnnounce
	portEntryFleet
	portEntryOperators
	portTarget
	portSeatFleet
	portSeatOperators
)

// peers returns n host=ip:port, with names made of the prefix and a number from 1.
func (s *session) peers(kind int, prefix string, n int) string {
	var list []string
	for i := 1; i <= n; i++ {
		list = append(list, fmt.Sprintf("%s%d=%s", prefix, i, s.port(kind, i)))
	}
	return strings.Join(list, ", ")
}

// writeSettings writes settings for control hosts c1 to c3, which create the fleet,
// and c4, which joins it; for entry hosts e1 to e4, of which e1 to e3 are seats; for
// seat hosts s1 to s3, targets t1 to t3 and the client.
func (s *session) writeSettings(dir string) error {
	controls, seats := s.peers(portControlFleet, "c", 3), s.peers(portEntryFleet, "e", 3)
	fleet := fmt.Sprintf("[fleet]\nname = session\nsecret_file = fleet.secret\ncontrols = %s\nseats = %s\njournals = %s\n", controls, seats, controls)
	files := map[string]string{
		"fleet.secret":    "secret-of-the-fleet-0123456789",
		"announce.secret": "secret-of-the-targets-0123456789",
		"token":           operatorToken,
		"client.ini":      fmt.Sprintf("[client]\naddresses = %s\ntoken_file = token\n", s.peers(portControlOperators, "c", 3)),
	}
	for i := 1; i <= 4; i++ {
		name := fmt.Sprintf("c%d", i)
		if err := os.Mkdir(filepath.Join(dir, name), 0o700); err != nil {
			return err
		}
		files[name+".ini"] = fmt.Sprintf("[host]\nname = %s\nzone = z%d\ndata_dir = %s\n[listen]\nfleet = %s\noperators = %s\n%s[control]\ncreate_fleet = %t\n[operators]\ntokens = mair:%x\n",
			name, i%3+1, name, s.port(portControlFleet, i), s.port(portControlOperators, i), fleet, i <= 3, sha256.Sum256([]byte(operatorToken)))
	}
	for i := 1; i <= 4; i++ {
		files[fmt.Sprintf("e%d.ini", i)] = fmt.Sprintf("[host]\nname = e%d\nzone = z%d\n[listen]\ncallers = %s\nannounce = %s\nfleet = %s\noperators = %s\n%s",
			i, i%3+1, s.port(portCallers, i), s.port(portAnnounce, i), s.port(portEntryFleet, i), s.port(portEntryOperators, i), fleet)
	}
	for i := 1; i <= 3; i++ {
		files[fmt.Sprintf("s%d.ini", i)] = fmt.Sprintf("[host]\nname = s%d\nzone = z%d\n[listen]\nfleet = %s\noperators = %s\n%s",
			i, i, s.port(portSeatFleet, i), s.port(portSeatOperators, i), fleet)
	}
	for i := 1; i <= 3; i++ {
		files[fmt.Sprintf("t%d.ini", i)] = fmt.Sprintf("[target]\nservice = stockbook\nname = t%d\nzone = z%d\naddr = %s\nannounce = %s, %s\nsecret_file = announce.secret\nlatency = 1ms\n",
			i, i, s.port(portTarget, i), s.port(portAnnounce, 1), s.port(portAnnounce, 2))
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// sessionOf returns the session of a script.
func sessionOf(ts *testscript.TestScript) *session { return ts.Value(sessionKey{}).(*session) }

// startProcess implements "start NAME...". It starts a process with the settings
// NAME.ini. The first letter of NAME selects the role.
func startProcess(ts *testscript.TestScript, _ bool, names []string) {
	s := sessionOf(ts)
	roles := map[byte]string{'c': "control", 'e': "entry", 's': "seat", 't': "target"}
	for _, name := range names {
		path, err := exec.LookPath("tarragongauge")
		ts.Check(err)
		log, err := os.OpenFile(ts.MkAbs(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		ts.Check(err)
		cmd := exec.Command(path, roles[name[0]], "--settings", name+".ini")
		cmd.Dir = ts.MkAbs(".")
		cmd.Env = append(os.Environ(), realProcessesVariable+"=1", "GORACE=atexit_sleep_ms=0")
		cmd.Stdout, cmd.Stderr = log, log
		ts.Check(cmd.Start())
		ts.Check(log.Close())
		s.procs[name] = cmd
	}
}

// signalProcess implements "signal KILL|STOP|CONT|TERM NAME...". It sends a signal
// to processes and, after KILL and TERM, waits until they have ended.
func signalProcess(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM}
	for _, name := range args[1:] {
		p := sessionOf(ts).procs[name]
		ts.Check(p.Process.Signal(signals[args[0]]))
		if args[0] == "KILL" || args[0] == "TERM" {
			_ = p.Wait()
			delete(sessionOf(ts).procs, name)
		}
	}
}

// call implements "call ENTRY METHOD PATH [KEY [ORDER-KEY [BODY]]]". It sends a
// request to an entry host and prints the status, the outcome and those fields of
// the answer that are the same in every run.
func call(ts *testscript.TestScript, _ bool, args []string) {
	_, _ = io.WriteString(ts.Stdout(), request(ts, args))
}

// request sends the request of a call and returns what call prints.
func request(ts *testscript.TestScript, args []string) string { return send(newRequest(ts, args)) }

// newRequest builds the request from the arguments of call.
func newRequest(ts *testscript.TestScript, args []string) *http.Request {
	args = append(args, "", "", "")
	i, err := strconv.Atoi(args[0][1:])
	ts.Check(err)
	url := "http://" + sessionOf(ts).port(portCallers, i) + args[2]
	req, err := http.NewRequest(args[1], url, strings.NewReader(args[5]))
	ts.Check(err)
	if args[3] != "" {
		req.Header.Set("Authorization", "Bearer "+args[3])
	}
	if args[4] != "" {
		req.Header.Set("Idempotency-Key", args[4])
	}
	return req
}

// send sends a request and returns what call prints. Unlike request it may run
// outside the script's goroutine.
func send(req *http.Request) string {
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Sprintf("no answer: %v\n", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "broken answer\n"
	}
	return fmt.Sprintf("%d %s %s\n", resp.StatusCode, resp.Header.Get("X-Outcome"), stableFields(body))
}

// stableFields returns the fields of a JSON answer that are the same in every run.
func stableFields(body []byte) string {
	var fields struct {
		Code      string `json:"code"`
		Workspace string `json:"workspace"`
	}
	if json.Unmarshal(body, &fields) != nil {
		return ""
	}
	return strings.TrimSpace(fields.Code + " " + fields.Workspace)
}

// eventually implements "eventually TEXT COMMAND ARG...". It repeats a call or
// another command until its output contains a text.
func eventually(ts *testscript.TestScript, _ bool, args []string) {
	const timeout = 20 * time.Second
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if tryOnce(ts, args[1:], args[0]) {
			return
		}
	}
	ts.Fatalf("%q did not print %q within %s", strings.Join(args[1:], " "), args[0], timeout)
}

// tryOnce runs a call or another command once and reports whether its output
// contains text. It prints the answer of a call only then.
func tryOnce(ts *testscript.TestScript, args []string, text string) bool {
	if args[0] == "call" {
		got := request(ts, args[1:])
		if !strings.Contains(got, text) {
			return false
		}
		_, _ = io.WriteString(ts.Stdout(), got)
		return true
	}
	_ = ts.Exec(args[0], args[1:]...)
	return strings.Contains(ts.ReadFile("stdout")+ts.ReadFile("stderr"), text)
}

// journal implements "journal". It prints a line for each request that reached a
// running target: order key, ran=BOOL, workspace, URI, headers and trailers.
func journal(ts *testscript.TestScript, _ bool, _ []string) {
	s := sessionOf(ts)
	for i := 1; i <= 3; i++ {
		if s.procs[fmt.Sprintf("t%d", i)] == nil {
			continue
		}
		resp, err := http.Get("http://" + s.port(portTarget, i) + stub.PathJournal)
		ts.Check(err)
		var seen []stub.JournalEntry
		ts.Check(json.NewDecoder(resp.Body).Decode(&seen))
		ts.Check(resp.Body.Close())
		for _, e := range seen {
			_, _ = fmt.Fprintf(ts.Stdout(), "%s ran=%t %s %s %v %v\n", e.OrderKey, e.Ran, e.Workspace, e.URI, e.Header, e.Trailer)
		}
	}
}

// repeat implements "repeat N call ARG...". It makes a call N times, one after
// another, and prints each answer.
func repeat(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	for range n {
		_, _ = io.WriteString(ts.Stdout(), request(ts, args[2:]))
	}
}

// background implements "background NAME call ARG...". It starts a call that
// "answer NAME" waits for.
func background(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	req := newRequest(ts, args[2:])
	s.calls[args[0]] = s.pool.Submit(func() string { return send(req) })
}

// steadyInterval is the pause between two calls of the command steady.
const steadyInterval = 10 * time.Millisecond

// steady implements "steady NAME DURATION call ARG...". It repeats a call without a
// body in the background until the duration is over.
func steady(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	req := newRequest(ts, args[3:])
	s.calls[args[0]] = s.pool.Submit(func() string {
		var got strings.Builder
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(steadyInterval) {
			got.WriteString(send(req.Clone(context.Background())))
		}
		return got.String()
	})
}

// answer implements "answer NAME...". It waits for background calls and prints
// their answers.
func answer(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		got, err := sessionOf(ts).calls[name].Wait()
		ts.Check(err)
		_, _ = io.WriteString(ts.Stdout(), got)
	}
}

// mode implements "mode TARGET JSON". It sets the behavior of a running target.
func mode(ts *testscript.TestScript, _ bool, args []string) {
	i, err := strconv.Atoi(args[0][1:])
	ts.Check(err)
	resp, err := http.Post("http://"+sessionOf(ts).port(portTarget, i)+stub.PathMode, "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	ts.Check(resp.Body.Close())
	if resp.StatusCode != http.StatusNoContent {
		ts.Fatalf("target %s refused the mode with status %d", args[0], resp.StatusCode)
	}
}

// ended implements "ended NAME...". It waits for processes that end by themselves,
// and fails if one takes more than 10 s.
func ended(ts *testscript.TestScript, _ bool, names []string) {
	s := sessionOf(ts)
	for _, name := range names {
		killTimer := time.AfterFunc(10*time.Second, func() { _ = s.procs[name].Process.Kill() })
		_ = s.procs[name].Wait()
		if !killTimer.Stop() {
			ts.Fatalf("%s did not end", name)
		}
		delete(s.procs, name)
	}
}

// ownedService holds the fields of a service in its owner's status that scripts check.
type ownedService struct {
	Service   string  `json:"service"`
	Announced int     `json:"announced_slots"`
	Healthy   int     `json:"healthy_slots"`
	Floor     float64 `json:"floor"`
}

// ownerTimeout bounds the wait for a service's owner. After a change of members a
// service has no owner for 2 s, and the new one receives the next announcement
// within 1 s.
const ownerTimeout = 5 * time.Second

// waitForOwner waits until a service has an owner. It returns the service, the
// name of its owner and the names of the other entry hosts.
func waitForOwner(ts *testscript.TestScript, service string) (ownedService, string, []string) {
	for end := time.Now().Add(ownerTimeout); ; time.Sleep(50 * time.Millisecond) {
		found, name, others := currentOwner(ts, service)
		if name != "" {
			return found, name, others
		}
		if time.Now().After(end) {
			ts.Fatalf("no host owns service %s", service)
		}
	}
}

// currentOwner returns what waitForOwner does, without waiting. The name is empty
// if the service has no owner now.
func currentOwner(ts *testscript.TestScript, service string) (ownedService, string, []string) {
	var status struct {
		Hosts []struct {
			Host   string `json:"host"`
			Role   string `json:"role"`
			Detail struct {
				Services []ownedService `json:"owned_services"`
			} `json:"detail"`
		} `json:"hosts"`
	}
	ts.Check(ts.Exec("tarragongauge", "status", "-o", "json"))
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("stdout")), &status))
	var found ownedService
	var name string
	var others []string
	for _, h := range status.Hosts {
		i := slices.IndexFunc(h.Detail.Services, func(o ownedService) bool { return o.Service == service })
		if i < 0 {
			if h.Role == "entry" {
				others = append(others, h.Host)
			}
			continue
		}
		if name != "" {
			ts.Fatalf("%s and %s both own service %s", name, h.Host, service)
		}
		found, name = h.Detail.Services[i], h.Host
	}
	return found, name, others
}

// owner implements "owner SERVICE VARIABLE [OTHER...]". It sets variables to the
// names of the entry host that owns a service and of the others.
func owner(ts *testscript.TestScript, _ bool, args []string) {
	_, name, others := waitForOwner(ts, args[0])
	ts.Setenv(args[1], name)
	for i, variable := range args[2:] {
		if i >= len(others) {
			ts.Fatalf("no entry host is left for %s", variable)
		}
		ts.Setenv(variable, others[i])
	}
}

// capacity implements "capacity SERVICE ANNOUNCED". The service must have this many
// announced slots, and the share of them that is healthy must reach the floor.
func capacity(ts *testscript.TestScript, _ bool, args []string) {
	announced, err := strconv.Atoi(args[1])
	ts.Check(err)
	got, _, _ := waitForOwner(ts, args[0])
	if got.Announced != announced || got.Floor <= 0 || float64(got.Healthy) < got.Floor*float64(got.Announced) {
		ts.Fatalf("%d of %d announced slots are in service with floor %g", got.Healthy, got.Announced, got.Floor)
	}
}

// capture implements "capture VARIABLE REGEXP". It sets a variable to the first
// group of a regular expression that matches the last command's output.
func capture(ts *testscript.TestScript, _ bool, args []string) {
	re, err := regexp.Compile(args[1])
	ts.Check(err)
	found := re.FindStringSubmatch(ts.ReadFile("stdout"))
	if len(found) < 2 {
		ts.Fatalf("no group of %q is in the output", args[1])
	}
	ts.Setenv(args[0], found[1])
}

// leader implements "leader VARIABLE [OTHER...]". It sets variables to the names of
// the leader and of the other running control hosts.
func leader(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	const timeout = 20 * time.Second
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		name, others := s.currentLeader()
		if name == "" {
			continue
		}
		ts.Setenv(args[0], name)
		for i, variable := range args[1:] {
			if i >= len(others) {
				ts.Fatalf("no control host is left for %s", variable)
			}
			ts.Setenv(variable, others[i])
		}
		return
	}
	ts.Fatalf("no control host led within %s", timeout)
}

// currentLeader returns the names of the leader, empty if there is none now, and of
// the other running control hosts.
func (s *session) currentLeader() (string, []string) {
	const roleLeader = 4 // ctrl.RoleLeader as a number
	var name string
	var others []string
	for i := 1; i <= 4; i++ {
		host := fmt.Sprintf("c%d", i)
		if s.procs[host] == nil {
			continue
		}
		if s.controlRole(i) == roleLeader {
			name = host
			continue
		}
		others = append(others, host)
	}
	return name, others
}

// controlRole returns the number of a control host's role, or 0 if the host does
// not answer.
func (s *session) controlRole(i int) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + s.port(portControlOperators, i) + "/debug/vars")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var vars struct {
		Control struct {
			Role int `json:"role"`
		} `json:"control"`
	}
	if json.NewDecoder(resp.Body).Decode(&vars) != nil {
		return 0
	}
	return vars.Control.Role
}

// submit implements "submit NAME DURATION". It creates the workspaces NAME-1,
// NAME-2 and so on in the background until the duration is over, and keeps the
// names of the accepted ones for "submitted NAME".
func submit(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	path, err := exec.LookPath("tarragongauge")
	ts.Check(err)
	dir := ts.MkAbs(".")
	s.calls[args[0]] = s.pool.Submit(func() string {
		var accepted []string
		end := time.Now().Add(d)
		for i := 1; time.Now().Before(end); i++ {
			workspace := fmt.Sprintf("%s-%d", args[0], i)
			cmd := exec.Command(path, "workspace", "create", workspace)
			cmd.Dir = dir
			cmd.Env = append(os.Environ(), realProcessesVariable+"=1", "GORACE=atexit_sleep_ms=0", settingsVariable+"=client.ini")
			if out, err := cmd.Output(); err == nil && strings.Contains(string(out), "accepted") {
				accepted = append(accepted, workspace)
			}
		}
		return strings.Join(accepted, " ")
	})
}

// submitted implements "submitted NAME...". It waits for the background changes of
// submit. At least one must have been accepted, and all accepted ones must be kept.
func submitted(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		got, err := sessionOf(ts).calls[name].Wait()
		ts.Check(err)
		accepted := strings.Fields(got)
		if len(accepted) == 0 {
			ts.Fatalf("no change of %s was accepted", name)
		}
		ts.Check(ts.Exec("tarragongauge", "workspace", "list"))
		listed := strings.Fields(ts.ReadFile("stdout"))
		for _, workspace := range accepted {
			if !slices.Contains(listed, workspace) {
				ts.Fatalf("the accepted workspace %s is lost", workspace)
			}
		}
		ts.Logf("%d changes of %s were accepted and kept", len(accepted), name)
	}
}
