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

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tarragongauge": func() {
			procs := fakeProcesses()
			if os.Getenv(realProcesses) != "" {
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

// fakeProcesses print what they were started with.
func fakeProcesses() processes {
	started := func(c any, log logr.Logger) error {
		log.Info("started", "settings", fmt.Sprintf("%+v", c))
		return nil
	}
	return processes{
		control: func(_ context.Context, c conf.Control, log logr.Logger) error { return started(c, log) },
		entry:   func(_ context.Context, c conf.Entry, log logr.Logger) error { return started(c, log) },
		journal: func(_ context.Context, c conf.Journal, log logr.Logger) error { return started(c, log) },
		all:     func(_ context.Context, c conf.All, log logr.Logger) error { return started(c, log) },
		target:  func(_ context.Context, c conf.Target, log logr.Logger) error { return started(c, log) },
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

// Guards against command lines that do something else than they say, exit with
// another code than documented, or show a key or token where it does not belong.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			f := newFakeFleet()
			server := httptest.NewServer(admin.New(f, admin.WithBackend(f, []admin.Token{{Actor: "mair", Hash: admin.HashToken(operatorToken)}})).Handler())
			env.Defer(server.Close)
			env.Values[fakeKey{}] = f
			return writeClientSettings(env, strings.TrimPrefix(server.URL, "http://"))
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"api":     func(ts *testscript.TestScript, _ bool, args []string) { ts.Value(fakeKey{}).(*fakeFleet).set(args[0]) },
			"encrypt": encrypt,
			"exits":   exits,
			"save":    save,
		},
	})
}

type fakeKey struct{}

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

// encrypt starts a control host over TLS and writes encrypted.ini for it: encrypt CERTIFICATE KEY
func encrypt(ts *testscript.TestScript, _ bool, args []string) {
	files := trust.Files{Authority: ts.MkAbs("ca/authority.crt"), Certificate: ts.MkAbs(args[0]), Key: ts.MkAbs(args[1])}
	tree, stop := super.New("trust")
	ts.Defer(stop)
	source, _, err := trust.NewSource(files, trust.Expectation{}, time.Now, tree)
	ts.Check(err)
	f := ts.Value(fakeKey{}).(*fakeFleet)
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

// exits runs a command and demands an exit code: exits CODE COMMAND ARG...
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

// save sets a variable to the last word of the last output: save VARIABLE
func save(ts *testscript.TestScript, _ bool, args []string) {
	words := strings.Fields(ts.ReadFile("stdout"))
	ts.Setenv(args[0], words[len(words)-1])
}

// Guards against a sample of the contrib folder that its own program refuses.
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

// Guards against an exit code without a meaning in the help.
func TestEveryExitCodeHasAMeaning(t *testing.T) {
	require.Len(t, exitMeanings(), int(exitCertificate)+1)
}

// Guards against a report form that prints another one.
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
