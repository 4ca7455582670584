package codec

import (
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// gen draws random values of the encoded types.
type gen struct{ t *rapid.T }

func (g gen) text() string        { return rapid.String().Draw(g.t, "text") }
func (g gen) bytes() []byte       { return rapid.SliceOfN(rapid.Byte(), 0, 9).Draw(g.t, "bytes") }
func (g gen) num() uint64         { return rapid.Uint64().Draw(g.t, "num") }
func (g gen) small() int          { return rapid.IntRange(-3, 1000).Draw(g.t, "small") }
func (g gen) flag() bool          { return rapid.Bool().Draw(g.t, "flag") }
func (g gen) float() float64      { return rapid.Float64().Draw(g.t, "float") }
func (g gen) dur() time.Duration  { return time.Duration(rapid.Int64().Draw(g.t, "dur")) }
func (g gen) count() int          { return rapid.IntRange(0, 3).Draw(g.t, "count") }
func (g gen) choice(n int) int    { return rapid.IntRange(0, n-1).Draw(g.t, "choice") }
func (g gen) hash() model.KeyHash { return model.KeyHash{byte(g.num()), 31: byte(g.num())} }

func (g gen) hosts() []model.HostID {
	if g.flag() {
		return nil
	}
	hosts := []model.HostID{}
	for range g.count() {
		hosts = append(hosts, model.HostID(g.text()))
	}
	return hosts
}

func (g gen) limits() model.Limits { return model.Limits{Rate: g.float(), Burst: g.float()} }

func (g gen) objective() model.Objective {
	return model.Objective{Availability: g.float(), Latency: g.dur(), LatencyShare: g.float()}
}

func (g gen) defaults() model.Defaults {
	return model.Defaults{
		Limits: g.limits(), Deadline: g.dur(), RetryShare: g.float(), Floor: g.float(),
		Slots: g.small(), Connections: g.small(), QueueLimit: g.small(), Objective: g.objective(),
	}
}

func (g gen) key() model.Key {
	return model.Key{ID: model.KeyID(g.text()), Workspace: model.WorkspaceID(g.text()), Hash: g.hash()}
}

func (g gen) service() model.Service {
	return model.Service{Name: model.ServiceName(g.text()), AnnounceHash: g.hash(), HealthPath: g.text(), Connections: g.small()}
}

func (g gen) route() model.Route {
	r := model.Route{
		Name: model.RouteName(g.text()), PathPrefix: g.text(), Service: model.ServiceName(g.text()),
		Open: g.flag(), Idempotent: g.flag(), RequireOrderKey: g.flag(), Host: g.text(), Attempts: g.small(),
		Timeout: g.dur(), Objective: g.dur(), Priority: g.small(),
	}
	for range g.count() {
		r.Split = append(r.Split, model.Share{Service: model.ServiceName(g.text()), Weight: g.float()})
	}
	if g.flag() {
		r.Methods = []string{g.text(), g.text()}
	}
	return r
}

func (g gen) exception() model.Exception {
	overrides := []model.Override{
		nil,
		model.LimitsOverride{Workspace: model.WorkspaceID(g.text()), Limits: g.limits()},
		model.DeadlineOverride{Route: model.RouteName(g.text()), Deadline: g.dur()},
		model.FloorOverride{Service: model.ServiceName(g.text()), Floor: g.float()},
		model.ObjectiveOverride{Service: model.ServiceName(g.text()), Objective: g.objective()},
	}
	return model.Exception{ID: g.text(), Reason: g.text(), Override: overrides[g.choice(len(overrides))]}
}

func (g gen) change() model.Change {
	ws := model.WorkspaceID(g.text())
	changes := []model.Change{
		nil,
		model.CreateWorkspace{Workspace: ws},
		model.WithdrawWorkspace{Workspace: ws},
		model.IssueKey{Key: g.key()},
		model.WithdrawKey{Workspace: ws, Key: model.KeyID(g.text())},
		model.SetDefaults{Defaults: g.defaults()},
		model.PutException{Exception: g.exception()},
		model.RemoveException{ID: g.text()},
		model.PutService{Service: g.service()},
		model.PutRoute{Route: g.route()},
		model.RemoveRoute{Route: model.RouteName(g.text())},
		model.SetSeats{Seats: g.hosts()},
		model.SetControls{Controls: g.hosts()},
		g.replaceContent(),
		g.editContent(),
	}
	return changes[g.choice(len(changes))]
}

func (g gen) editContent() model.EditContent {
	e := model.EditContent{Revision: model.Revision(g.num())}
	for range g.count() {
		e.Services, e.RemovedServices = append(e.Services, g.service()), append(e.RemovedServices, model.ServiceName(g.text()))
		e.Routes, e.RemovedRoutes = append(e.Routes, g.route()), append(e.RemovedRoutes, model.RouteName(g.text()))
		e.Workspaces, e.RemovedWorkspaces = append(e.Workspaces, model.WorkspaceID(g.text())), append(e.RemovedWorkspaces, model.WorkspaceID(g.text()))
		e.Keys, e.RemovedKeys = append(e.Keys, g.key()), append(e.RemovedKeys, g.hash())
		e.Exceptions, e.RemovedExceptions = append(e.Exceptions, g.exception()), append(e.RemovedExceptions, g.text())
	}
	return e
}

func (g gen) replaceContent() model.ReplaceContent {
	ch := model.ReplaceContent{Revision: model.Revision(g.num())}
	if g.flag() {
		ch.Document = append([]byte("{"), g.bytes()...)
	}
	for range g.count() {
		ch.Content.Services = append(ch.Content.Services, g.service())
		ch.Content.Routes = append(ch.Content.Routes, g.route())
		workspace := model.WorkspaceContent{Workspace: model.WorkspaceID(g.text())}
		if g.flag() {
			limits := g.limits()
			workspace.Limits = &limits
		}
		for range g.count() {
			key := g.key()
			key.Workspace = workspace.Workspace
			workspace.Keys = append(workspace.Keys, key)
		}
		ch.Content.Workspaces = append(ch.Content.Workspaces, workspace)
	}
	return ch
}

func (g gen) proposal() model.Proposal {
	return model.Proposal{
		ID: model.ChangeID(g.text()), Base: model.Version(g.num()), Actor: g.text(), Reason: g.text(),
		UnixMilli: int64(g.num()), Change: g.change(),
	}
}

func (g gen) committed() model.Committed {
	return model.Committed{Version: model.Version(g.num()), Proposal: g.proposal()}
}

func (g gen) config() model.Config {
	c := model.NewConfig(g.hosts(), g.hosts()).WithVersion(model.Version(g.num()))
	c.Defaults = g.defaults()
	c.Revision = model.Revision(g.num())
	if g.flag() {
		c.Document = append([]byte("{"), g.bytes()...)
	}
	var exceptions []model.Exception
	var routes []model.Route
	for range g.count() {
		ws := model.Workspace{ID: model.WorkspaceID(g.text()), Withdrawn: g.flag(), WithdrawnAt: model.Version(g.num())}
		c.Workspaces = c.Workspaces.With(ws)
		k, s, e := g.key(), g.service(), g.exception()
		c.Keys, c.Services = c.Keys.With(k), c.Services.With(s.Name, s)
		exceptions, routes = append(exceptions, e), append(routes, g.route())
	}
	c.Exceptions, c.Routes = model.NewExceptions(exceptions), model.NewRoutes(routes)
	return c
}

func (g gen) entry() proto.LogEntry {
	e := proto.LogEntry{Index: g.num(), Term: model.Term(g.num()), SeatsInForce: g.flag()}
	if g.flag() {
		p := g.proposal()
		e.Proposal = &p
	}
	return e
}

func (g gen) record() proto.JournalRecord {
	r := proto.JournalRecord{
		Workspace: model.WorkspaceID(g.text()), OrderKey: string(g.bytes()), BodyHash: model.BodyHash(g.hash()),
		Holder: model.RequestID(g.text()), Freed: g.flag(), UnixMilli: int64(g.num()),
	}
	if g.flag() {
		r.Answer = &proto.StoredAnswer{Status: g.small(), Header: map[string][]string{string(g.bytes()): {g.text()}}, Body: g.bytes()}
	}
	return r
}

func (g gen) result() model.Result {
	return model.Result{
		ID: model.ChangeID(g.text()), Kind: model.ResultKind(1 + g.choice(5)), Version: model.Version(g.num()),
		Message: g.text(), Leader: model.HostID(g.text()),
	}
}

func (g gen) control() ControlState {
	s := ControlState{Config: g.config(), OldSeats: []model.HostID{"a"}}
	for range g.count() {
		s.History = append(s.History, Outcome{Committed: g.committed(), Result: g.result()})
	}
	return s
}

func (g gen) log() LogRecord {
	r := LogRecord{
		Term: model.Term(g.num()), VotedFor: model.HostID(g.text()), TruncateFrom: g.num(),
		StateIndex: g.num(), StateTerm: model.Term(g.num()), LearnerID: g.num(),
	}
	for range g.count() {
		r.Entries = append(r.Entries, g.entry())
	}
	if g.flag() {
		r.State = []byte("state")
	}
	return r
}

// roundTrip returns a test that guards against a field that is lost or changed
// by the encoding, and against a decoded value that encodes to other bytes, by
// which the digests of equal snapshots would differ between hosts.
func roundTrip[V any](draw func(gen) V, enc func(V) ([]byte, error), dec func([]byte) (V, error)) func(*testing.T) {
	return func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			v := draw(gen{rt})
			data, err := enc(v)
			require.NoError(rt, err)
			got, err := dec(data)
			require.NoError(rt, err)
			require.Equal(rt, v, got)
			again, err := enc(got)
			require.NoError(rt, err)
			require.Equal(rt, data, again)
			_, err = dec(data[:len(data)-1])
			require.True(rt, IsErrMalformed(err), "a truncated value must be refused")
		})
	}
}

func TestRoundTrip(t *testing.T) {
	t.Run("config", roundTrip(gen.config, EncodeConfig, DecodeConfig))
	t.Run("proposal", roundTrip(gen.proposal, EncodeProposal, DecodeProposal))
	t.Run("committed", roundTrip(gen.committed, EncodeCommitted, DecodeCommitted))
	t.Run("entry", roundTrip(gen.entry, EncodeLogEntry, DecodeLogEntry))
	t.Run("record", roundTrip(gen.record, EncodeJournalRecord, DecodeJournalRecord))
	t.Run("result", roundTrip(gen.result, EncodeResult, DecodeResult))
	t.Run("control", roundTrip(gen.control, EncodeControlState, DecodeControlState))
	t.Run("log", roundTrip(gen.log, EncodeLogRecord, DecodeLogRecord))
}

// Guards against NaN and infinities in a change. One host would encode them, and
// no host could decode them.
func TestEncodeRefusesNonFiniteNumbers(t *testing.T) {
	for _, f := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
		_, err := EncodeProposal(model.Proposal{Change: model.SetDefaults{Defaults: model.Defaults{Floor: f}}})
		require.Error(t, err)
		_, err = EncodeProposal(model.Proposal{Change: model.PutException{Exception: model.Exception{Override: model.FloorOverride{Floor: f}}}})
		require.Error(t, err)
	}
}

// Guards against a malformed proposal that is decoded as another change or as
// none. Such a change would be lost, or applied differently on two hosts.
func TestDecodeRefusesMalformedValues(t *testing.T) {
	ws := model.WorkspaceID("w")
	two, err := encode("test", proposalDTO{Change: changeDTO{CreateWorkspace: &ws, WithdrawWorkspace: &ws}})
	require.NoError(t, err)
	unknown, err := encode("test", map[int]any{1: "id", 99: "field of a later version"})
	require.NoError(t, err)
	short, err := encode("test", proposalDTO{Change: changeDTO{IssueKey: &keyDTO{Hash: []byte{1}}}})
	require.NoError(t, err)
	for name, data := range map[string][]byte{"two changes": two, "unknown field": unknown, "short digest": short, "empty": nil, "trailing": append([]byte{0xa0}, 0)} {
		_, err := DecodeProposal(data)
		require.True(t, IsErrMalformed(err), name)
	}
	_, err = DecodeResult([]byte{0xa1, 2, 9})
	require.True(t, IsErrMalformed(err))
}

// Guards against a list of workspaces or keys that is not in order, since its
// entries would not be found in the table, and against a value of another type
// that is read as an empty list.
func TestDecodeRefusesMalformedTables(t *testing.T) {
	hash := make([]byte, 32)
	for name, dto := range map[string]map[int]any{
		"out of order": {3: []workspaceDTO{{ID: "b"}, {ID: "a"}}},
		"twice":        {4: []keyDTO{{Hash: hash}, {Hash: hash}}},
		"short digest": {4: []keyDTO{{Hash: hash[1:]}}},
		"empty text":   {3: ""},
		"wrong field":  {3: []map[int]any{{9: 1}}},
	} {
		data, err := encode("test", dto)
		require.NoError(t, err)
		_, err = DecodeConfig(data)
		require.True(t, IsErrMalformed(err), name)
	}
}

const (
	// maxAmplification limits the bytes allocated for each byte decoded. An empty
	// element of one byte becomes an empty struct; the largest has about 300 bytes.
	maxAmplification = 2000
	// fixedAllocation is the allocation in bytes that is allowed for any input. It
	// covers the decoder's own tables and other goroutines of the test.
	fixedAllocation = 1 << 20
)

// fuzzDecoder guards against panics of a decoder, against input for which it
// allocates far more memory than its length, and against decoded values that
// cannot be encoded and decoded again.
func fuzzDecoder[V any](f *testing.F, draw func(gen) V, enc func(V) ([]byte, error), dec func([]byte) (V, error)) {
	for seed := range 4 {
		data, err := enc(rapid.Custom(func(t *rapid.T) V { return draw(gen{t}) }).Example(seed))
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0x9b, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		v, err := dec(data)
		runtime.ReadMemStats(&after)
		require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(fixedAllocation+maxAmplification*len(data)))
		if err != nil {
			return
		}
		again, err := enc(v)
		require.NoError(t, err)
		_, err = dec(again)
		require.NoError(t, err)
	})
}

func FuzzDecodeConfig(f *testing.F)   { fuzzDecoder(f, gen.config, EncodeConfig, DecodeConfig) }
func FuzzDecodeProposal(f *testing.F) { fuzzDecoder(f, gen.proposal, EncodeProposal, DecodeProposal) }
func FuzzDecodeEntry(f *testing.F)    { fuzzDecoder(f, gen.entry, EncodeLogEntry, DecodeLogEntry) }
func FuzzDecodeRecord(f *testing.F) {
	fuzzDecoder(f, gen.record, EncodeJournalRecord, DecodeJournalRecord)
}
func FuzzDecodeResult(f *testing.F) { fuzzDecoder(f, gen.result, EncodeResult, DecodeResult) }
func FuzzDecodeControl(f *testing.F) {
	fuzzDecoder(f, gen.control, EncodeControlState, DecodeControlState)
}
func FuzzDecodeLog(f *testing.F) { fuzzDecoder(f, gen.log, EncodeLogRecord, DecodeLogRecord) }
