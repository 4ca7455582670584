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

// realProcesses makes the test binary run the real processes instead of fakes.
const realProcesses = "TARRAGONGAUGE_REAL_PROCESSES"

// Guards against parts that pass their own tests and fail together: whole
// sessions through the real binary as separate processes on loopback, compared
// with golden output.
func TestSessions(t *testing.T) {
	var sessions atomic.Int64
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/session",
		UpdateScripts: os.Getenv("UPDATE_GOLDEN") != "",
		Setup: func(env *testscript.Env) error {
			s := &session{
				procs: map[string]*exec.Cmd{}, ip: sessionIP(sessions.Add(1)),
				pool: pond.NewResultPool[string](maxBackground), calls: map[string]pond.ResultTask[string]{},
			}
			env.Values[sessionKey{}] = s
			env.Defer(s.killAll)
			env.Setenv(realProcesses, "1")
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

type sessionKey struct{}

// session holds the processes of one script. Its addresses are on a loopback
// IP of its own, so that scripts can run in parallel.
type session struct {
	ip    string
	procs map[string]*exec.Cmd
	// pool runs the calls in the background, which calls holds by name.
	pool  pond.ResultPool[string]
	calls map[string]pond.ResultTask[string]
}

// maxBackground bounds the calls of a script that run at once.
const maxBackground = 16

func sessionIP(n int64) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 210+pid/250%40, 1+pid%250, 1+n%250)
}

func (s *session) killAll() {
	for _, p := range s.procs {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	s.pool.StopAndWait()
}

func (s *session) port(kind, i int) string { return fmt.Sprintf("%s:%d", s.ip, 20000+100*kind+i) }

// Kinds of ports.
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

func (s *session) peers(kind int, prefix string, n int) string {
	var list []string
	for i := 1; i <= n; i++ {
		list = append(list, fmt.Sprintf("%s%d=%s", prefix, i, s.port(kind, i)))
	}
	return strings.Join(list, ", ")
}

// writeSettings writes settings for control hosts c1 to c3 that create the
// fleet, c4 that joins it, entry hosts e1 to e4 of which three are seats, seat
// hosts s1 to s3 and targets t1 to t3.
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

func sessionOf(ts *testscript.TestScript) *session { return ts.Value(sessionKey{}).(*session) }

// startProcess starts processes named after their settings: start NAME...
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
		cmd.Env = append(os.Environ(), realProcesses+"=1", "GORACE=atexit_sleep_ms=0")
		cmd.Stdout, cmd.Stderr = log, log
		ts.Check(cmd.Start())
		ts.Check(log.Close())
		s.procs[name] = cmd
	}
}

// signalProcess sends a signal: signal KILL|STOP|CONT|TERM NAME... It waits for
// the end of processes that it ends.
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

// call sends a request and prints its status and outcome, then the part of the
// answer that does not change between runs: call ENTRY METHOD PATH [KEY [ORDER-KEY [BODY]]]
func call(ts *testscript.TestScript, _ bool, args []string) {
	_, _ = io.WriteString(ts.Stdout(), request(ts, args))
}

func request(ts *testscript.TestScript, args []string) string { return send(newRequest(ts, args)) }

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

// send returns what call prints. It may run outside the goroutine of the script.
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
	return fmt.Sprintf("%d %s %s\n", resp.StatusCode, resp.Header.Get("X-Outcome"), stable(body))
}

// stable keeps the fields of a JSON answer that are the same in every run.
func stable(body []byte) string {
	var fields struct {
		Code      string `json:"code"`
		Workspace string `json:"workspace"`
	}
	if json.Unmarshal(body, &fields) != nil {
		return ""
	}
	return strings.TrimSpace(fields.Code + " " + fields.Workspace)
}

// eventually repeats a call until it prints a text: eventually TEXT call ARG...
func eventually(ts *testscript.TestScript, _ bool, args []string) {
	const patience = 20 * time.Second
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if repeatOnce(ts, args[1:], args[0]) {
			return
		}
	}
	ts.Fatalf("%q did not print %q within %s", strings.Join(args[1:], " "), args[0], patience)
}

func repeatOnce(ts *testscript.TestScript, args []string, text string) bool {
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

// journal prints what the running targets saw, one line a request: key ORDER-KEY ran=BOOL, then all headers.
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

// repeat makes a call several times in turn and prints each answer: repeat N call ARG...
func repeat(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	for range n {
		_, _ = io.WriteString(ts.Stdout(), request(ts, args[2:]))
	}
}

// background starts a call under a name: background NAME call ARG...
func background(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	req := newRequest(ts, args[2:])
	s.calls[args[0]] = s.pool.Submit(func() string { return send(req) })
}

// steadyInterval is the time between two calls of steady.
const steadyInterval = 10 * time.Millisecond

// steady makes a call without a body at a steady rate in the background for a time: steady NAME DURATION call ARG...
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

// answer waits for calls in the background and prints what they got: answer NAME...
func answer(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		got, err := sessionOf(ts).calls[name].Wait()
		ts.Check(err)
		_, _ = io.WriteString(ts.Stdout(), got)
	}
}

// mode sets the behavior of a running target: mode TARGET JSON
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

// ended waits for processes that end by themselves: ended NAME...
func ended(ts *testscript.TestScript, _ bool, names []string) {
	s := sessionOf(ts)
	for _, name := range names {
		stuck := time.AfterFunc(10*time.Second, func() { _ = s.procs[name].Process.Kill() })
		_ = s.procs[name].Wait()
		if !stuck.Stop() {
			ts.Fatalf("%s did not end", name)
		}
		delete(s.procs, name)
	}
}

// ownedService is the part of an entry host's status that scripts check.
type ownedService struct {
	Service   string  `json:"service"`
	Announced int     `json:"announced_slots"`
	Healthy   int     `json:"healthy_slots"`
	Floor     float64 `json:"floor"`
}

// ownerPatience is longer than a service is without an owner after a change of
// members: 2 s, and 1 s until the new owner hears of the next announcement.
const ownerPatience = 5 * time.Second

// owned returns the owner of a service and the names of the other entry hosts.
func owned(ts *testscript.TestScript, service string) (ownedService, string, []string) {
	for end := time.Now().Add(ownerPatience); ; time.Sleep(50 * time.Millisecond) {
		found, name, others := ownedNow(ts, service)
		if name != "" {
			return found, name, others
		}
		if time.Now().After(end) {
			ts.Fatalf("no host owns service %s", service)
		}
	}
}

// ownedNow is owned at one moment; the name is empty if the service has no owner.
func ownedNow(ts *testscript.TestScript, service string) (ownedService, string, []string) {
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

// owner sets variables to the entry host that owns a service and to the others: owner SERVICE VARIABLE [OTHER...]
func owner(ts *testscript.TestScript, _ bool, args []string) {
	_, name, others := owned(ts, args[0])
	ts.Setenv(args[1], name)
	for i, variable := range args[2:] {
		if i >= len(others) {
			ts.Fatalf("no entry host is left for %s", variable)
		}
		ts.Setenv(variable, others[i])
	}
}

// capacity demands that a service has its slots announced and at least the floor's share in service: capacity SERVICE ANNOUNCED
func capacity(ts *testscript.TestScript, _ bool, args []string) {
	announced, err := strconv.Atoi(args[1])
	ts.Check(err)
	got, _, _ := owned(ts, args[0])
	if got.Announced != announced || got.Floor <= 0 || float64(got.Healthy) < got.Floor*float64(got.Announced) {
		ts.Fatalf("%d of %d announced slots are in service with floor %g", got.Healthy, got.Announced, got.Floor)
	}
}

// capture sets a variable to the first group of a regular expression in the last output: capture VARIABLE REGEXP
func capture(ts *testscript.TestScript, _ bool, args []string) {
	re, err := regexp.Compile(args[1])
	ts.Check(err)
	found := re.FindStringSubmatch(ts.ReadFile("stdout"))
	if len(found) < 2 {
		ts.Fatalf("no group of %q is in the output", args[1])
	}
	ts.Setenv(args[0], found[1])
}

// leader sets variables to the control host that leads and to the other running ones: leader VARIABLE [OTHER...]
func leader(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	const patience = 20 * time.Second
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		name, others := s.leads()
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
	ts.Fatalf("no control host led within %s", patience)
}

// leads returns the running control host that leads, if there is one, and the others.
func (s *session) leads() (string, []string) {
	const roleLeader = 4
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

// controlRole returns what a control host plays in its term, or 0 if it does not answer.
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

// submit creates workspaces NAME-1, NAME-2 and so on for a time in the
// background and notes which of them were accepted: submit NAME DURATION
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
			cmd.Env = append(os.Environ(), realProcesses+"=1", "GORACE=atexit_sleep_ms=0", settingsVariable+"=client.ini")
			if out, err := cmd.Output(); err == nil && strings.Contains(string(out), "accepted") {
				accepted = append(accepted, workspace)
			}
		}
		return strings.Join(accepted, " ")
	})
}

// submitted waits for changes in the background and demands that some were
// accepted and that none of these is lost: submitted NAME...
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
