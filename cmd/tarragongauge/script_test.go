package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/admin"
	"tarragongauge.example/tarragongauge/internal/burn"
	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/internal/super"
	"tarragongauge.example/tarragongauge/internal/trust"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const operatorToken = "token-of-operator-mair"

// TestMain makes the test binary serve as the command tarragongauge of the scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tarragongauge": func() {
			procs := fakeProcesses()
			if os.Getenv(realProcessesVariable) != "" {
				procs = includedProcesses()
			}
			if os.Getenv("WITHOUT_PROCESSES") != "" {
				procs = processes{}
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
			a := app{in: os.Stdin, out: os.Stdout, errOut: os.Stderr, procs: procs}
			code := run(ctx, os.Args[1:], a)
			stop()
			os.Exit(int(code))
		},
	})
}

// fakeProcesses returns processes that only print the settings they were started with.
func fakeProcesses() processes {
	logStart := func(c any, log logr.Logger) error {
		log.Info("started", "settings", fmt.Sprintf("%+v", c))
		return nil
	}
	return processes{
		control: func(_ context.Context, c conf.Control, log logr.Logger) error { return logStart(c, log) },
		entry:   func(_ context.Context, c conf.Entry, log logr.Logger) error { return logStart(c, log) },
		journal: func(_ context.Context, c conf.Journal, log logr.Logger) error { return logStart(c, log) },
		all:     func(_ context.Context, c conf.All, log logr.Logger) error { return logStart(c, log) },
		target:  func(_ context.Context, c conf.Target, log logr.Logger) error { return logStart(c, log) },
		load: func(_ context.Context, o loadOptions, out io.Writer) error {
			_, err := fmt.Fprintf(out, "%s %s rate %g\n", o.Method, o.URL, o.Rate)
			return err
		},
		burn: func(data []byte, format string, out io.Writer) (bool, error) {
			_, err := fmt.Fprintf(out, "%s as %s\n", data, format)
			return format == "html", err
		},
	}
}

// TestScripts guards against command lines that do something else than their help
// says, exit with another code than documented, or print a key or token where it
// does not belong.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			f := newFakeFleet()
			server := httptest.NewServer(admin.New(f, admin.WithBackend(f, []admin.Token{{Actor: "mair", Hash: admin.HashToken(operatorToken)}})).Handler())
			env.Defer(server.Close)
			env.Values[fakeFleetKey{}] = f
			return writeClientSettings(env, strings.TrimPrefix(server.URL, "http://"))
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"api": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Value(fakeFleetKey{}).(*fakeFleet).setNextFault(args[0])
			},
			"encrypt": startTLSFleet,
			"exits":   exits,
			"save":    save,
		},
	})
}

// fakeFleetKey is the key of the fakeFleet in the values of a script.
type fakeFleetKey struct{}

// writeClientSettings writes tokens and client settings for a control host at addr:
// valid settings, and settings with a wrong token, an unreachable address or faults.
func writeClientSettings(env *testscript.Env, addr string) error {
	files := map[string]string{
		"token":       operatorToken,
		"wrong":       "a-token-that-nobody-knows",
		"client.ini":  "[client]\naddresses = c1=" + addr + "\ntoken_file = token\n",
		"wrong.ini":   "[client]\naddresses = c1=" + addr + "\ntoken_file = wrong\n",
		"nobody.ini":  "[client]\naddresses = c1=127.0.0.1:1\ntoken_file = token\ntimeout = 1s\n",
		"nowhere.ini": "[client]\ntoken_file = token\ntimeout = often\n",
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(env.WorkDir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	env.Setenv(settingsVariable, "client.ini")
	env.Setenv("GORACE", "atexit_sleep_ms=0") // a command built with -race would wait 1 s before it exits
	return nil
}

// startTLSFleet implements "encrypt CERTIFICATE KEY". It serves the fake fleet over
// TLS with these files and writes its client settings to encrypted.ini.
func startTLSFleet(ts *testscript.TestScript, _ bool, args []string) {
	files := trust.Files{Authority: ts.MkAbs("ca/authority.crt"), Certificate: ts.MkAbs(args[0]), Key: ts.MkAbs(args[1])}
	tree, stop := super.New("trust")
	ts.Defer(stop)
	source, _, err := trust.NewSource(files, trust.Expectation{}, time.Now, tree)
	ts.Check(err)
	f := ts.Value(fakeFleetKey{}).(*fakeFleet)
	api := admin.New(f, admin.WithBackend(f, []admin.Token{{Actor: "mair", Hash: admin.HashToken(operatorToken)}}), admin.WithTLS(source.OperatorsServer()))
	server := httptest.NewUnstartedServer(api.Handler())
	server.Config.ErrorLog = log.New(io.Discard, "", 0) // refused handshakes are expected
	addr := server.Listener.Addr().String()
	server.Listener = api.Listener(server.Listener)
	server.Start()
	ts.Defer(server.Close)
	settings := "[client]\naddresses = c1=" + addr + "\ntoken_file = token\ntimeout = 5s\n[tls]\nauthority_file = ca/authority.crt\n"
	ts.Check(os.WriteFile(ts.MkAbs("encrypted.ini"), []byte(settings), 0o600))
}

// exits implements "exits CODE COMMAND ARG...". It runs a command, which must exit
// with the given code.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if got != want {
		ts.Fatalf("exit code %d instead of %d", got, want)
	}
}

// save implements "save VARIABLE". It sets a variable to the last word of the last
// command's output.
func save(ts *testscript.TestScript, _ bool, args []string) {
	words := strings.Fields(ts.ReadFile("stdout"))
	ts.Setenv(args[0], words[len(words)-1])
}

// TestSamplesAreAccepted guards against sample settings and systemd units in
// contrib that the program refuses.
func TestSamplesAreAccepted(t *testing.T) {
	paths, err := filepath.Glob("../../contrib/*/*.ini")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(paths), 9)
	for _, path := range paths {
		role := strings.TrimSuffix(filepath.Base(path), ".ini")
		require.NoError(t, conf.Check(path, conf.Role(role), conf.WithoutFiles()), path)
	}
	units, err := filepath.Glob("../../contrib/systemd/*.service")
	require.NoError(t, err)
	require.Len(t, units, 4)
	for _, path := range units {
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		role := strings.TrimSuffix(strings.TrimPrefix(filepath.Base(path), "tarragongauge-"), ".service")
		cmd, _, err := (&app{}).rootCommand().Find([]string{role})
		require.NoError(t, err)
		require.Contains(t, string(data), "ExecStart=/usr/bin/tarragongauge "+cmd.Name()+" --settings /etc/tarragongauge/"+role+".ini\n")
	}
}

// TestEveryExitCodeHasAMeaning guards against an exit code that the help topic
// does not explain.
func TestEveryExitCodeHasAMeaning(t *testing.T) {
	require.Len(t, exitMeanings(), int(exitCertificate)+1)
}

// TestBurnReportForms guards against a burn report in another form than was asked
// for, and against counters of another version that are decoded silently.
func TestBurnReportForms(t *testing.T) {
	data, err := burn.FleetCounts{Config: model.NewConfig(nil, nil), Hosts: 3}.Encode()
	require.NoError(t, err)
	for format, want := range map[string]string{"text": "hosts", "json": "{", "html": "<html"} {
		var out strings.Builder
		alert, err := writeBurn(data, format, &out)
		require.NoError(t, err)
		require.False(t, alert)
		require.Contains(t, out.String(), want, format)
	}
	_, err = writeBurn([]byte{0xff}, "text", io.Discard)
	require.ErrorContains(t, err, "same version")
}
