package node

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/internal/stub"
	"tarragongauge.example/tarragongauge/pkg/client"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Names and sizes of the sample that a trial fleet starts with.
const (
	sampleService   model.ServiceName = "stockbook"
	sampleRoute     model.RouteName   = "stock"
	sampleOrders    model.RouteName   = "orders"
	sampleWorkspace model.WorkspaceID = "shop-1"
	sampleTargets                     = 2
	sampleSlots                       = 3
	// sampleTimeout bounds the time to create the sample.
	sampleTimeout = 20 * time.Second
)

// RunAll runs all roles in one process with a sample service, workspace and key,
// and prints the commands to try it with. It returns when ctx ends.
func RunAll(ctx context.Context, c conf.All, log logr.Logger, out io.Writer) error {
	t := &trial{cfg: c, log: log, out: out, token: rand.Text(), announceSecret: rand.Text()}
	defer t.stop()
	if err := t.start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// trial is a fleet of one control host, one entry host and two targets in one process.
type trial struct {
	cfg            conf.All
	log            logr.Logger
	out            io.Writer
	token          string
	announceSecret string
	client         *client.Client
	cleanups       []func()
}

func (t *trial) stop() {
	for i := len(t.cleanups) - 1; i >= 0; i-- {
		t.cleanups[i]()
	}
}

func (t *trial) start(ctx context.Context) error {
	fleet, err := t.fleetSettings()
	if err != nil {
		return err
	}
	if err := t.startControl(fleet); err != nil {
		return err
	}
	h, stop, err := startEntry(t.entrySettings(fleet), t.log)
	if err != nil {
		return err
	}
	t.cleanups = append(t.cleanups, func() { t.logError(stop(), "stop the entry host") })
	addr := client.Address{Host: t.cfg.Host.Name, Addr: t.cfg.Listen.Operators}
	t.client, err = client.New([]client.Address{addr}, t.token)
	if err != nil {
		return err
	}
	key, err := t.createSample(ctx)
	if err != nil {
		return err
	}
	for i := range sampleTargets {
		if err := t.startTarget(h.process, i); err != nil {
			return err
		}
	}
	return t.print(key)
}

// fleetSettings returns the settings of a fleet of one control host and one entry
// host, with a random secret and a free port for the entry host.
func (t *trial) fleetSettings() (conf.Fleet, error) {
	entryAddr, err := freeAddr()
	if err != nil {
		return conf.Fleet{}, err
	}
	control := []conf.Peer{{Host: t.cfg.Host.Name, Addr: t.cfg.Listen.Fleet}}
	return conf.Fleet{
		Name:     "trial",
		Secret:   conf.NewSecret([]byte(rand.Text() + rand.Text())),
		Controls: control,
		Journals: control,
		Seats:    []conf.Peer{{Host: t.cfg.Host.Name + "-entry", Addr: entryAddr}},
	}, nil
}

// freeAddr returns a loopback address whose port was free at the time of the
// call.
func freeAddr() (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	return l.Addr().String(), l.Close()
}

// startControl starts the control host, which accepts the token of the trial
// and runs the only journal.
func (t *trial) startControl(fleet conf.Fleet) error {
	c := conf.Control{
		Host:        t.cfg.Host,
		Listen:      conf.Listen{Fleet: t.cfg.Listen.Fleet, Operators: t.cfg.Listen.Operators},
		Fleet:       fleet,
		Operators:   t.cfg.Operators,
		Limits:      t.cfg.Limits,
		Log:         t.cfg.Log,
		RunsJournal: true,
		CreateFleet: true,
	}
	c.Operators.Tokens = append(c.Operators.Tokens, conf.Token{Actor: "trial", Hash: sha256.Sum256([]byte(t.token))})
	_, stop, err := startControl(c, t.log, nil)
	if err != nil {
		return err
	}
	t.cleanups = append(t.cleanups, func() { t.logError(stop(), "stop the control host") })
	return nil
}

// entrySettings returns the settings of the entry host, whose operators' port
// is a free one.
func (t *trial) entrySettings(fleet conf.Fleet) conf.Entry {
	limits := t.cfg.Limits
	operators, err := freeAddr()
	t.logError(err, "choose the operators' port of the entry host")
	return conf.Entry{
		Host:   conf.Host{Name: fleet.Seats[0].Host, Zone: t.cfg.Host.Zone},
		Listen: conf.Listen{Callers: t.cfg.Listen.Callers, Announce: t.cfg.Listen.Announce, Fleet: fleet.Seats[0].Addr, Operators: operators},
		Fleet:  fleet,
		Limits: limits,
		Log:    t.cfg.Log,
	}
}

// logError logs a failed action. It does nothing if err is nil.
func (t *trial) logError(err error, action string) {
	if err != nil {
		t.log.Error(err, "cannot "+action)
	}
}

// createSample submits the changes that create the sample and returns the secret
// of a new key. If the data folder is that of an earlier run, everything but the
// new key exists already.
func (t *trial) createSample(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	key, err := client.NewKey()
	if err != nil {
		return "", err
	}
	keyID := fmt.Sprintf("trial-%d", time.Now().UnixMilli())
	changes := []model.Change{
		model.PutService{Service: model.Service{Name: sampleService, AnnounceHash: client.HashKey(t.announceSecret)}},
		model.PutRoute{Route: model.Route{Name: sampleRoute, PathPrefix: "/stock", Service: sampleService, Idempotent: true}},
		model.PutRoute{Route: model.Route{Name: sampleOrders, PathPrefix: "/orders", Methods: []string{"POST"}, Service: sampleService}},
		model.CreateWorkspace{Workspace: sampleWorkspace},
		model.IssueKey{Key: model.Key{ID: model.KeyID(keyID), Workspace: sampleWorkspace, Hash: client.HashKey(key)}},
	}
	for _, ch := range changes {
		if err := t.submit(ctx, ch); err != nil {
			return "", err
		}
	}
	return key, t.writeClientSettings(key)
}

// submit retries a change until control has a leader and the seat has started.
func (t *trial) submit(ctx context.Context, ch model.Change) error {
	id, err := client.NewChangeID()
	if err != nil {
		return err
	}
	for {
		err := t.submitOnce(ctx, id, ch)
		if err == nil || ctx.Err() != nil || !(client.IsErrUnknown(err) || client.IsErrUnreachable(err)) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// submitOnce proposes a change once. A refusal because the change was made by
// an earlier run is not an error.
func (t *trial) submitOnce(ctx context.Context, id model.ChangeID, ch model.Change) error {
	base, err := t.client.Version(ctx)
	if err != nil {
		return err
	}
	_, err = t.client.Propose(ctx, model.Proposal{ID: id, Base: base, Reason: "sample of a first trial", Change: ch})
	var invalid client.ErrInvalid
	if errors.As(err, &invalid) && isExisting(ch) {
		return nil
	}
	return err
}

// isExisting reports whether a refused change may already have been made by an
// earlier run.
func isExisting(ch model.Change) bool {
	_, ok := ch.(model.CreateWorkspace)
	return ok
}

// writeClientSettings writes the token, the key and a settings file with which
// the operators' commands reach this process.
func (t *trial) writeClientSettings(key string) error {
	const ownerOnly = 0o600
	dir := t.cfg.Host.DataDir
	files := []struct{ name, text string }{
		{"token", t.token + "\n"},
		{"key", key + "\n"},
		{"client.ini", fmt.Sprintf("[client]\naddresses = %s=%s\ntoken_file = %s\n", t.cfg.Host.Name, t.cfg.Listen.Operators, filepath.Join(dir, "token"))},
	}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(dir, f.name), []byte(f.text), ownerOnly); err != nil {
			return eris.Wrap(err, "write the settings of the operators' commands")
		}
	}
	return nil
}

// startTarget starts a stub target as a task of the process. The target
// announces itself to the entry host.
func (t *trial) startTarget(p *process, i int) error {
	name := fmt.Sprintf("%s-%d", sampleService, i+1)
	target, err := stub.NewTarget(name)
	if err != nil {
		return err
	}
	runner, err := stub.NewRunner(target, stub.Registration{
		EntryURLs: []string{"http://" + t.cfg.Listen.Announce}, Service: string(sampleService), Target: name,
		Zone: string(t.cfg.Host.Zone), Secret: t.announceSecret, Slots: sampleSlots, Incarnation: uint64(newIncarnation()),
	})
	if err != nil {
		return err
	}
	l, err := listen("target", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.tree.Go(name, func(ctx context.Context) error { return runner.Run(ctx, l) })
	return nil
}

// print writes the commands with which the user of the trial can start.
func (t *trial) print(key string) error {
	dir := t.cfg.Host.DataDir
	_, err := fmt.Fprintf(t.out, `Every role runs in this process. Send a request through it:

  curl -i -H 'Authorization: Bearer %s' http://%s/stock/kerrs-pink

Withdraw the workspace, and ask for the evidence that it is silent:

  tarragongauge --settings %s workspace withdraw %s --reason "first trial"
  tarragongauge --settings %s silence %s

`, key, t.cfg.Listen.Callers, filepath.Join(dir, "client.ini"), sampleWorkspace, filepath.Join(dir, "client.ini"), sampleWorkspace)
	return eris.Wrap(err, "write the first steps")
}
