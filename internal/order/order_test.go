package order_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// testFleet runs three journals and one reserver. Effects are carried out at once, and
// only the messages that a test drops are lost.
type testFleet struct {
	t        *testing.T
	now      model.Instant
	ids      []model.HostID
	journals map[model.HostID]*order.Journal
	disks    map[model.HostID]*disk
	// down holds the hosts that neither send nor receive messages.
	down     map[model.HostID]bool
	reserver *order.Reserver
	// outcomes lists how requests ended, such as "a reserved".
	outcomes []string
	// dropMessage reports whether a message is lost.
	dropMessage func(from model.HostID, m order.Send) bool
}

// newTestFleet starts three journals on formed disks and a reserver on host e0.
func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{t: t, ids: []model.HostID{"j0", "j1", "j2"}, journals: map[model.HostID]*order.Journal{}, disks: map[model.HostID]*disk{}, down: map[model.HostID]bool{}}
	for _, id := range f.ids {
		f.disks[id] = formedDisk()
		f.startJournal(id, false, 1)
	}
	f.reserver = order.NewReserver("e0", f.ids, order.WithTiming(simTiming()))
	f.advance(0)
	return f
}

// startJournal starts a journal with the content of its disk.
func (f *testFleet) startJournal(id model.HostID, empty bool, nonce uint64) {
	f.journals[id] = order.NewJournal(id, f.ids, f.disks[id].recovered(), empty, order.WithTiming(simTiming()), order.WithNonceBase(nonce), order.WithPageBytes(500))
}

// loseDisk replaces the disk of a journal by an empty one and starts the journal.
func (f *testFleet) loseDisk(id model.HostID, empty bool, nonce uint64) {
	f.disks[id] = emptyDisk()
	f.startJournal(id, empty, nonce)
}

// apply carries out the effects of a host at once and records the outcomes of
// requests.
func (f *testFleet) apply(from model.HostID, effs []order.Effect) {
	for _, eff := range effs {
		switch eff := eff.(type) {
		case order.Send:
			f.deliver(from, eff)
		default:
			f.apply(from, performDiskEffect(f.now, f.journals[from], f.disks[from], eff))
		case order.Reserved:
			f.outcomes = append(f.outcomes, fmt.Sprint(eff.Request, " reserved"))
		case order.Replayed:
			f.outcomes = append(f.outcomes, fmt.Sprint(eff.Request, " known ", string(eff.Answer.Body)))
		case order.Stopped:
			f.outcomes = append(f.outcomes, fmt.Sprint(eff.Request, " stopped ", eff.Reason))
		}
	}
}

func (f *testFleet) deliver(from model.HostID, m order.Send) {
	if f.down[from] || f.down[m.To] || (f.dropMessage != nil && f.dropMessage(from, m)) {
		return
	}
	ev := order.Received{From: from, Msg: m.Msg}
	if m.To == "e0" {
		f.apply("e0", f.reserver.Step(f.now, ev))
		return
	}
	f.apply(m.To, f.journals[m.To].Step(f.now, ev))
}

// advance advances the time by d and delivers a Tick to all hosts every 5 ms.
func (f *testFleet) advance(d time.Duration) {
	for end := f.now.Add(d); ; f.now = f.now.Add(5 * time.Millisecond) {
		f.apply("e0", f.reserver.Step(f.now, order.Tick{}))
		for _, id := range f.ids {
			f.apply(id, f.journals[id].Step(f.now, order.Tick{}))
		}
		if f.now >= end {
			return
		}
	}
}

func (f *testFleet) start(id model.RequestID, key string, body byte) {
	f.apply("e0", f.reserver.Step(f.now, order.Requested{Request: id, Workspace: "ws", OrderKey: key, Body: model.BodyHash{body}}))
}

// finish reports the end of a request to the reserver, without an answer if
// answer is empty.
func (f *testFleet) finish(id model.RequestID, notRun bool, answer string) {
	ev := order.Finished{Request: id, NotRun: notRun}
	if answer != "" {
		ev.Answer = &proto.StoredAnswer{Status: 200, Body: []byte(answer)}
	}
	f.apply("e0", f.reserver.Step(f.now, ev))
}

// TestReservationOutcomes guards against a resend of an order that gets the wrong outcome,
// for each state in which the first request may have left the reservation.
func TestReservationOutcomes(t *testing.T) {
	const inFlight, differs, noMajority = "b stopped 1", "b stopped 2", "b stopped 3"
	cases := map[string]struct {
		setup func(*testFleet)
		body  byte
		want  string
	}{
		"new key":            {func(*testFleet) {}, 1, "b reserved"},
		"in flight":          {func(f *testFleet) { f.start("a", "o", 1) }, 1, inFlight},
		"other body":         {func(f *testFleet) { f.start("a", "o", 1) }, 2, differs},
		"unknown end":        {func(f *testFleet) { f.start("a", "o", 1); f.finish("a", false, "") }, 1, inFlight},
		"not run":            {func(f *testFleet) { f.start("a", "o", 1); f.finish("a", true, "") }, 1, "b reserved"},
		"not run, new body":  {func(f *testFleet) { f.start("a", "o", 1); f.finish("a", true, "") }, 2, "b reserved"},
		"answered":           {func(f *testFleet) { f.start("a", "o", 1); f.finish("a", false, "x") }, 1, "b known x"},
		"answered, new body": {func(f *testFleet) { f.start("a", "o", 1); f.finish("a", false, "x") }, 2, differs},
		"other key":          {func(f *testFleet) { f.start("a", "other", 1) }, 1, "b reserved"},
		"one journal down":   {func(f *testFleet) { f.down["j1"] = true }, 1, "b reserved"},
		"two journals down":  {func(f *testFleet) { f.down["j1"], f.down["j2"] = true, true }, 1, noMajority},
		"failed disks": {func(f *testFleet) {
			for _, id := range f.ids[:2] {
				f.journals[id].Step(f.now, order.DiskFailed{})
			}
		}, 1, noMajority},
		"one answer among the down": {func(f *testFleet) {
			f.start("a", "o", 1)
			f.finish("a", false, "x")
			f.down["j1"], f.down["j2"] = true, true
		}, 1, "b known x"},
		"reserved among the down": {func(f *testFleet) {
			f.start("a", "o", 1)
			f.down["j1"], f.down["j2"] = true, true
		}, 1, inFlight},
		"expired": {func(f *testFleet) {
			f.start("a", "o", 1)
			f.now = f.now.Add(24*time.Hour + 2*time.Minute)
			f.advance(0)
		}, 1, "b reserved"},
		"almost expired": {func(f *testFleet) {
			f.start("a", "o", 1)
			f.now = f.now.Add(24*time.Hour - 2*time.Minute)
			f.advance(0)
		}, 1, inFlight},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			c.setup(f)
			f.start("b", "o", c.body)
			f.advance(200 * time.Millisecond)
			require.Equal(t, c.want, f.outcomes[len(f.outcomes)-1])
		})
	}
}

// TestGivenUpReservationsAreFreed guards against a reservation that stays after its request
// was given up because the first messages that free it were lost.
func TestGivenUpReservationsAreFreed(t *testing.T) {
	f := newTestFleet(t)
	f.start("a", "o", 1)
	f.down["j0"], f.down["j1"] = true, true
	f.finish("a", true, "")
	f.down["j0"], f.down["j1"] = false, false
	f.advance(time.Second)
	f.start("b", "o", 1)
	f.advance(50 * time.Millisecond)
	require.Equal(t, []string{"a reserved", "b reserved"}, f.outcomes)
}

// TestRepairCopiesAllRecords guards against a repair that loses records, stops after a page,
// ends too early or never ends.
func TestRepairCopiesAllRecords(t *testing.T) {
	f := newTestFleet(t)
	for i := range 20 {
		id := model.RequestID(fmt.Sprint("a", i))
		f.start(id, fmt.Sprint("o", i), 1)
		f.finish(id, i%3 == 0, map[bool]string{true: "x"}[i%3 == 1])
	}
	want := f.disks["j0"].newestByKey()
	require.Len(t, want, 20)
	f.loseDisk("j0", true, 99)
	f.startJournal("j1", false, 1000)
	f.advance(200 * time.Millisecond)
	require.False(t, f.journals["j0"].CanVote(), "the repair must wait until votes from the lost disk have expired")
	f.down["j2"] = true
	f.advance(200 * time.Millisecond)
	require.False(t, f.journals["j0"].CanVote(), "the records of one other journal are not enough")
	f.down["j2"] = false
	f.advance(50 * time.Millisecond)
	require.True(t, f.journals["j0"].CanVote())
	require.Equal(t, want, f.disks["j0"].newestByKey())
	require.Equal(t, 20, f.journals["j0"].RecordCount())
	f.startJournal("j0", true, 2000)
	require.True(t, f.journals["j0"].CanVote(), "a repaired journal is complete")
}

// TestInterruptedRepairDoesNotVote guards against a journal that votes after an interrupted
// repair because its disk is not empty any more.
func TestInterruptedRepairDoesNotVote(t *testing.T) {
	left := emptyDisk()
	left.write(1, []proto.JournalRecord{{Workspace: "ws", OrderKey: "o", Holder: "a"}})
	require.False(t, order.NewJournal("j0", []model.HostID{"j0", "j1", "j2"}, left.recovered(), false).CanVote())
	require.False(t, order.NewJournal("j0", []model.HostID{"j0"}, order.RecoveredState{}, true).CanVote())
	require.True(t, order.NewJournal("j0", []model.HostID{"j0"}, order.RecoveredState{}, false).CanVote())
}

// TestReplyWaitsForSync guards against a vote that is sent before its record is synced. A
// crash would lose the record, and the order could run twice.
func TestReplyWaitsForSync(t *testing.T) {
	j := order.NewJournal("j0", []model.HostID{"j0"}, order.RecoveredState{}, false)
	ask := order.Received{From: "e0", Msg: proto.ReserveAsk{Nonce: 1, Workspace: "ws", OrderKey: "o", Holder: "a", JournalsDigest: order.JournalListDigest([]model.HostID{"j0"})}}
	effs := j.Step(1, ask)
	require.Len(t, effs, 1)
	persist := effs[0].(order.Persist)
	require.Empty(t, j.Step(2, ask), "a repeated question waits too")
	require.Len(t, j.Step(3, order.Persisted{Seq: persist.Seq, Positions: []order.Position{{Segment: 1}}}), 2)
	read := j.Step(4, ask)[0].(order.Read)
	require.Equal(t, order.Position{Segment: 1}, read.At)
	require.Empty(t, j.Step(4, ask), "the repeated question waits for the same read")
	require.Len(t, j.Step(5, order.ReadDone{ID: read.ID, Record: persist.Records[0]}), 2)
	require.Empty(t, j.Step(5, order.ReadDone{ID: read.ID, Record: persist.Records[0]}))
	require.Empty(t, j.Step(5, order.DiskFailed{}))
	effs = j.Step(6, ask)
	require.Equal(t, proto.ReserveUnavailable, effs[0].(order.Send).Msg.(proto.ReserveReply).Status)
}

// TestVotesFromALostDiskDoNotCount guards against a vote from before the loss of a disk that
// completes a majority after the repair, while another request gets a majority with the
// repaired journal.
func TestVotesFromALostDiskDoNotCount(t *testing.T) {
	f := newTestFleet(t)
	// "a" reaches only j2 at first, and later only j0; "b" reaches all.
	reach := model.HostID("j2")
	f.dropMessage = func(_ model.HostID, m order.Send) bool {
		ask, ok := m.Msg.(proto.ReserveAsk)
		return ok && ask.Holder == "a" && m.To != reach
	}
	f.start("a", "o", 1)
	reach = ""
	f.loseDisk("j2", true, 99)
	for step := 0; step < 100 && !f.journals["j2"].CanVote(); step++ {
		f.advance(5 * time.Millisecond)
	}
	require.True(t, f.journals["j2"].CanVote())
	reach = "j0"
	f.advance(10 * time.Millisecond)
	reach = ""
	f.start("b", "o", 1)
	f.advance(200 * time.Millisecond)
	require.NotEqual(t, []string{"a reserved", "b reserved"}, f.outcomes)
	require.NotContains(t, f.outcomes, "a reserved")
}

// TestRepairWithTwoHoldersVotesForNeither guards against a repaired journal that votes for the
// wrong request when the copied records name two holders.
func TestRepairWithTwoHoldersVotesForNeither(t *testing.T) {
	ids := []model.HostID{"j0", "j1", "j2", "j3", "j4"}
	held := func(holder model.RequestID, freed bool) []proto.JournalRecord {
		return []proto.JournalRecord{{Workspace: "ws", OrderKey: "o", Holder: holder, Freed: freed}}
	}
	cases := map[string]struct {
		copies [][]proto.JournalRecord
		want   proto.ReserveStatus
	}{
		"two holders, asker first": {[][]proto.JournalRecord{held("b", false), held("a", false), nil}, proto.ReserveTaken},
		"two holders":              {[][]proto.JournalRecord{held("a", false), held("b", false), nil}, proto.ReserveTaken},
		"two holders, one freed":   {[][]proto.JournalRecord{held("b", false), held("a", false), held("a", true)}, proto.ReserveHeld},
		"only the asker":           {[][]proto.JournalRecord{nil, held("b", false), nil}, proto.ReserveHeld},
		"only another":             {[][]proto.JournalRecord{held("a", false), nil, nil}, proto.ReserveTaken},
		"another gave up":          {[][]proto.JournalRecord{held("a", false), held("b", false), held("a", true)}, proto.ReserveHeld},
		"another gave up, all":     {[][]proto.JournalRecord{held("a", true), nil, held("a", false)}, proto.ReserveHeld},
		"none":                     {[][]proto.JournalRecord{nil, nil, nil}, proto.ReserveHeld},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := emptyDisk()
			j := order.NewJournal("j0", ids, d.recovered(), true)
			j.Step(1, order.Tick{})
			now := model.Instant(5 * time.Second)
			asks := j.Step(now, order.Tick{})[:3]
			for i := range asks {
				ask := asks[i].(order.Send)
				effs := j.Step(now, order.Received{From: ask.To, Msg: proto.JournalCopyReply{
					Nonce: ask.Msg.(proto.JournalCopyAsk).Nonce, Records: c.copies[i], Done: true,
				}})
				for len(effs) > 0 {
					effs = append(effs[1:], performDiskEffect(now, j, d, effs[0])...)
				}
			}
			require.True(t, j.CanVote())
			j = order.NewJournal("j0", ids, d.recovered(), true)
			require.True(t, j.CanVote(), "the newest copy takes precedence after a restart")
			effs := j.Step(now, order.Received{From: "e0", Msg: proto.ReserveAsk{Nonce: 1, Workspace: "ws", OrderKey: "o", BodyHash: model.BodyHash{}, Holder: "b", JournalsDigest: order.JournalListDigest(ids)}})
			for len(effs) > 0 {
				if _, ok := effs[0].(order.Send); ok {
					break
				}
				effs = append(effs[1:], performDiskEffect(now, j, d, effs[0])...)
			}
			require.Equal(t, c.want, effs[0].(order.Send).Msg.(proto.ReserveReply).Status)
		})
	}
}

// TestJournalListMismatchGetsNoVote guards against an order that runs twice after the list of
// journals was changed on some hosts only: majorities of two lists need not have a journal in
// common.
func TestJournalListMismatchGetsNoVote(t *testing.T) {
	ids, others := []model.HostID{"j0", "j1", "j2"}, []model.HostID{"j0", "j1", "j3"}
	require.Equal(t, order.JournalListDigest(ids), order.JournalListDigest([]model.HostID{"j2", "j0", "j1"}))
	j := order.NewJournal("j0", ids, formedDisk().recovered(), false)
	r := order.NewReserver("e0", others, order.WithTiming(simTiming()))
	ask := r.Step(1, order.Requested{Request: "a", Workspace: "ws", OrderKey: "o"})[0].(order.Send)
	require.Equal(t, model.HostID("j0"), ask.To)
	effs := j.Step(1, order.Received{From: "e0", Msg: ask.Msg})
	require.Equal(t, proto.ReserveUnavailable, effs[0].(order.Send).Msg.(proto.ReserveReply).Status)
	require.Equal(t, order.JournalListMismatch{From: "e0"}, effs[1])
	for _, m := range []proto.Message{proto.JournalCopyAsk{Nonce: 1, JournalsDigest: order.JournalListDigest(others)}, proto.JournalFormAsk{Nonce: 1, JournalsDigest: order.JournalListDigest(others)}} {
		require.Equal(t, []order.Effect{order.JournalListMismatch{From: "j3"}}, j.Step(1, order.Received{From: "j3", Msg: m}))
	}
}
