package admit

import (
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const noisy = model.WorkspaceID("small-1")

// workload is eight workspaces, three of them large, at 70 % of their rates on average.
func workload() map[model.WorkspaceID]model.Limits {
	return map[model.WorkspaceID]model.Limits{
		"large-1": {Rate: 400, Burst: 400}, "large-2": {Rate: 300, Burst: 300}, "large-3": {Rate: 200, Burst: 200},
		noisy: {Rate: 50, Burst: 100}, "small-2": {Rate: 50, Burst: 100}, "small-3": {Rate: 50, Burst: 100},
		"small-4": {Rate: 20, Burst: 30}, "small-5": {Rate: 10, Burst: 12},
	}
}

func sortedWorkspaces(limits map[model.WorkspaceID]model.Limits) []model.WorkspaceID {
	var all []model.WorkspaceID
	for ws := range limits {
		all = append(all, ws)
	}
	slices.Sort(all)
	return all
}

// uneven returns a balancer that sends host i a share in proportion to 1/(i+1)^0.8.
func (f *fleet) uneven() func() *fleetHost {
	var sums []float64
	total := 0.0
	for i := range f.hosts {
		total += math.Pow(float64(i+1), -0.8)
		sums = append(sums, total)
	}
	return func() *fleetHost {
		i, _ := slices.BinarySearch(sums, f.r.Float64()*total)
		return f.hosts[min(i, len(f.hosts)-1)]
	}
}

// FixedShare is the baseline: each host admits its share of rate and burst by
// itself, and lets a request wait as long as a wallet does.
type fixedShare struct{ meter }

func newFixedShare(l model.Limits, hosts int) *fixedShare {
	rate := l.Rate / float64(hosts)
	// Less than one request of burst would admit nothing at all.
	burst := max(1, l.Burst/float64(hosts)) + rate*rateWait.Seconds()
	return &fixedShare{meter{rate: rate, burst: burst}}
}

type scenario struct {
	name        string
	noise       float64
	lostOwner   time.Duration // 0: none
	tell        time.Duration // until every host knows the new owner
	fixedShares bool
}

type refusals struct{ total, worst, noisyUse float64 }

func runScenario(t *testing.T, seed uint64, s scenario, length time.Duration) refusals {
	limits := workload()
	f := newFleet(t, seed, 48, limits)
	f.own(f.hosts[0])
	f.runUntil(3 * time.Second)
	pick := f.uneven()
	shares := map[string]*fixedShare{}
	for _, ws := range sortedWorkspaces(limits) {
		demand := 0.7 * limits[ws].Rate
		if ws == noisy && s.noise > 0 {
			demand = s.noise * limits[ws].Rate
		}
		if !s.fixedShares {
			f.poisson(ws, demand, pick)
			continue
		}
		for _, h := range f.hosts {
			shares[fmt.Sprint(h.id, ws)] = newFixedShare(limits[ws], len(f.hosts))
		}
		f.poissonShares(ws, demand, pick, shares)
	}
	if s.lostOwner > 0 {
		f.at(length/3, func() { f.lose(s) })
	}
	f.runUntil(length)
	return f.refusals(limits)
}

func (f *fleet) poissonShares(ws model.WorkspaceID, demand float64, pick func() *fleetHost, shares map[string]*fixedShare) {
	t := f.tracks[ws]
	var do func()
	do = func() {
		within := t.ideal.fits(f.now)
		if within {
			t.within++
		}
		if shares[fmt.Sprint(pick().id, ws)].fits(f.now) {
			t.admitted++
		} else if within {
			t.wrong++
		}
		f.at(f.now+time.Duration(f.r.ExpFloat64()/demand*1e9), do)
	}
	f.at(f.now, do)
}

// lose cuts the owner of all shards; another host owns them after a gap.
func (f *fleet) lose(s scenario) {
	f.cut[f.owner] = true
	f.owner.frozen = time.Hour
	f.tell = s.tell
	f.at(f.now+max(s.lostOwner, f.owner.until-f.now), func() { f.own(f.hosts[len(f.hosts)/2]) })
}

func (f *fleet) refusals(limits map[model.WorkspaceID]model.Limits) refusals {
	var r refusals
	wrong, within := 0, 0
	for _, ws := range sortedWorkspaces(limits) {
		t := f.tracks[ws]
		if ws == noisy {
			r.noisyUse = float64(t.admitted) / float64(t.within)
			continue
		}
		wrong += t.wrong
		within += t.within
		r.worst = max(r.worst, float64(t.wrong)/float64(t.within))
	}
	r.total = float64(wrong) / float64(within)
	return r
}

// Guards against refusals within the rate in the quiet case. With ADMIT_MEASURE
// set it measures all scenarios for 300 s of virtual time and five seeds.
func TestMeasureRefusals(t *testing.T) {
	if os.Getenv("ADMIT_MEASURE") == "" {
		require.Zero(t, runScenario(t, 1, scenario{}, 10*time.Second).total)
		return
	}
	// 1.66 s and 2.22 s are the median and the worst time until lost shards were
	// owned again in TestMeasureRecovery of package lease; all hosts knew the new
	// owner 0.15 s and 0.44 s later.
	scenarios := []scenario{
		{name: "one bucket, quiet"},
		{name: "one bucket, one at 8 times its rate", noise: 8},
		{name: "one bucket, 8 times, owner lost for 1.66 s", noise: 8, lostOwner: 1660 * time.Millisecond, tell: 150 * time.Millisecond},
		{name: "one bucket, 8 times, owner lost for 2.22 s", noise: 8, lostOwner: 2220 * time.Millisecond, tell: 440 * time.Millisecond},
		{name: "fixed shares, quiet", fixedShares: true},
		{name: "fixed shares, 8 times", noise: 8, fixedShares: true},
	}
	for _, s := range scenarios {
		var total, worst, use []float64
		for seed := range uint64(5) {
			r := runScenario(t, seed, s, 300*time.Second)
			total, worst, use = append(total, r.total), append(worst, r.worst), append(use, r.noisyUse)
		}
		slices.Sort(total)
		slices.Sort(worst)
		slices.Sort(use)
		fmt.Printf("%-45s wrong refusals median %.4f%% worst %.4f%%; worst workspace median %.4f%% worst %.4f%%; %s admitted/ideal median %.3f\n",
			s.name, 100*total[2], 100*total[4], 100*worst[2], 100*worst[4], noisy, use[2])
	}
}

// BenchmarkWallet measures a decision of a busy workspace from stock, with the
// draws that refill it and the owner that answers them.
func BenchmarkWallet(b *testing.B) {
	for _, perSecond := range []float64{20, 2000} {
		b.Run(fmt.Sprintf("%v per second", perSecond), func(b *testing.B) {
			o, _ := admitOwner(model.Limits{Rate: 1e6, Burst: 1e6})
			w := NewLimiter("e")
			w.Step(0, OwnersChanged{Owners: []proto.Owner{{Shard: model.WorkspaceShard("w"), Host: "o"}}})
			now := model.Instant(10 * time.Second)
			admitted, draws := 0, 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Duration(1e9 / perSecond))
				for _, e := range w.Step(now, Arrived{Request: "request", Workspace: "w", Deadline: now + 1e9}) {
					if s, ok := e.(Send); ok {
						draws++
						reply := o.Step(now, Received{From: "e", Msg: s.Msg})[0].(Send)
						for _, e := range w.Step(now.Add(time.Millisecond), Received{From: "o", Msg: reply.Msg}) {
							if _, ok := e.(Admitted); ok {
								admitted++
							}
						}
						continue
					}
					if _, ok := e.(Admitted); ok {
						admitted++
					}
				}
				if i%50 == 0 {
					w.Step(now.Add(time.Millisecond), Tick{})
				}
			}
			b.ReportMetric(float64(draws)/float64(b.N), "draws/op")
			require.Equal(b, b.N, admitted)
		})
	}
}
