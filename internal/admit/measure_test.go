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

// noisyWorkspace is the workspace that exceeds its rate in some scenarios.
const noisyWorkspace = model.WorkspaceID("small-1")

// workload returns the limits of eight workspaces, of which three are large.
// Their requests use 70 % of their rates on average.
func workload() map[model.WorkspaceID]model.Limits {
	return map[model.WorkspaceID]model.Limits{
		"large-1": {Rate: 400, Burst: 400}, "large-2": {Rate: 300, Burst: 300}, "large-3": {Rate: 200, Burst: 200},
		noisyWorkspace: {Rate: 50, Burst: 100}, "small-2": {Rate: 50, Burst: 100}, "small-3": {Rate: 50, Burst: 100},
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

// unevenBalancer returns a function that picks host i with a probability
// proportional to 1/(i+1)^0.8.
func (f *fleet) unevenBalancer() func() *fleetHost {
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

// fixedShare is the baseline of the measurement: each host admits requests
// within its fraction of rate and burst on its own. Its burst includes the
// requests that a Limiter would let wait.
type fixedShare struct{ boundMeter }

func newFixedShare(l model.Limits, hosts int) *fixedShare {
	rate := l.Rate / float64(hosts)
	// Less than one request of burst would admit nothing at all.
	burst := max(1, l.Burst/float64(hosts)) + rate*tokenWaitTimeout.Seconds()
	return &fixedShare{boundMeter{rate: rate, burst: burst}}
}

// scenario is a case that TestMeasureRefusals measures.
type scenario struct {
	name string
	// noisyLoad is the load of noisyWorkspace as a multiple of its rate, or 0 for 0.7.
	noisyLoad float64
	// ownerlessTime is how long the shards have no owner, or 0 if the owner is not lost.
	ownerlessTime time.Duration
	// maxOwnerDelay is the time until every host has received the change of owner.
	maxOwnerDelay time.Duration
	// fixedShares replaces the limiters by the baseline.
	fixedShares bool
}

// refusals holds the result of a scenario. total and worstWorkspace are the
// fractions of the requests within the rate that were refused, over all
// workspaces but the noisy one and in the worst of them. noisyAdmitted is the
// number of admitted requests of the noisy workspace divided by that of an ideal bucket.
type refusals struct{ total, worstWorkspace, noisyAdmitted float64 }

// runScenario simulates 48 hosts under the workload for the given length and
// returns the refusals.
func runScenario(t *testing.T, seed uint64, s scenario, length time.Duration) refusals {
	limits := workload()
	f := newFleet(t, seed, 48, limits)
	f.setOwner(f.hosts[0])
	f.runUntil(3 * time.Second)
	pick := f.unevenBalancer()
	shares := map[string]*fixedShare{}
	for _, ws := range sortedWorkspaces(limits) {
		demand := 0.7 * limits[ws].Rate
		if ws == noisyWorkspace && s.noisyLoad > 0 {
			demand = s.noisyLoad * limits[ws].Rate
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
	if s.ownerlessTime > 0 {
		f.at(length/3, func() { f.loseOwner(s) })
	}
	f.runUntil(length)
	return f.refusals(limits)
}

// poissonShares offers requests as a Poisson process to the baseline.
func (f *fleet) poissonShares(ws model.WorkspaceID, demand float64, pick func() *fleetHost, shares map[string]*fixedShare) {
	t := f.stats[ws]
	var do func()
	do = func() {
		within := t.ideal.tryTake(f.now)
		if within {
			t.idealAdmitted++
		}
		if shares[fmt.Sprint(pick().id, ws)].tryTake(f.now) {
			t.admitted++
		} else if within {
			t.wronglyRefused++
		}
		f.at(f.now+time.Duration(f.r.ExpFloat64()/demand*1e9), do)
	}
	f.at(f.now, do)
}

// loseOwner isolates and freezes the owner of all shards. Another host owns
// them after the scenario's ownerlessTime.
func (f *fleet) loseOwner(s scenario) {
	f.isolated[f.owner] = true
	f.owner.frozenUntil = time.Hour
	f.maxOwnerDelay = s.maxOwnerDelay
	f.at(f.now+max(s.ownerlessTime, f.owner.leaseUntil-f.now), func() { f.setOwner(f.hosts[len(f.hosts)/2]) })
}

func (f *fleet) refusals(limits map[model.WorkspaceID]model.Limits) refusals {
	var r refusals
	wrong, within := 0, 0
	for _, ws := range sortedWorkspaces(limits) {
		t := f.stats[ws]
		if ws == noisyWorkspace {
			r.noisyAdmitted = float64(t.admitted) / float64(t.idealAdmitted)
			continue
		}
		wrong += t.wronglyRefused
		within += t.idealAdmitted
		r.worstWorkspace = max(r.worstWorkspace, float64(t.wronglyRefused)/float64(t.idealAdmitted))
	}
	r.total = float64(wrong) / float64(within)
	return r
}

// TestMeasureRefusals guards against refusals of requests within the rate when
// no workspace exceeds its rate and no owner is lost. With ADMIT_MEASURE set it
// measures all scenarios instead, for 300 s of simulated time with five seeds
// each.
func TestMeasureRefusals(t *testing.T) {
	if os.Getenv("ADMIT_MEASURE") == "" {
		require.Zero(t, runScenario(t, 1, scenario{}, 10*time.Second).total)
		return
	}
	// In TestMeasureRecovery of package lease, lost shards were owned again after
	// 1.66 s in the median and 2.22 s at worst, and all hosts knew the new owner
	// 0.15 s and 0.44 s later.
	scenarios := []scenario{
		{name: "one bucket, quiet"},
		{name: "one bucket, one at 8 times its rate", noisyLoad: 8},
		{name: "one bucket, 8 times, owner lost for 1.66 s", noisyLoad: 8, ownerlessTime: 1660 * time.Millisecond, maxOwnerDelay: 150 * time.Millisecond},
		{name: "one bucket, 8 times, owner lost for 2.22 s", noisyLoad: 8, ownerlessTime: 2220 * time.Millisecond, maxOwnerDelay: 440 * time.Millisecond},
		{name: "fixed shares, quiet", fixedShares: true},
		{name: "fixed shares, 8 times", noisyLoad: 8, fixedShares: true},
	}
	for _, s := range scenarios {
		var total, worst, use []float64
		for seed := range uint64(5) {
			r := runScenario(t, seed, s, 300*time.Second)
			total, worst, use = append(total, r.total), append(worst, r.worstWorkspace), append(use, r.noisyAdmitted)
		}
		slices.Sort(total)
		slices.Sort(worst)
		slices.Sort(use)
		fmt.Printf("%-45s wrong refusals median %.4f%% worst %.4f%%; worst workspace median %.4f%% worst %.4f%%; %s admitted/ideal median %.3f\n",
			s.name, 100*total[2], 100*total[4], 100*worst[2], 100*worst[4], noisyWorkspace, use[2])
	}
}

// BenchmarkLimiter measures the admission of a request with a token that the
// limiter holds, including the draws that refill its pool and the owner's answers.
func BenchmarkLimiter(b *testing.B) {
	for _, perSecond := range []float64{20, 2000} {
		b.Run(fmt.Sprintf("%v per second", perSecond), func(b *testing.B) {
			o, _ := newTestOwner(model.Limits{Rate: 1e6, Burst: 1e6})
			l := NewLimiter("e")
			l.Step(0, OwnersChanged{Owners: []proto.Owner{{Shard: model.WorkspaceShard("w"), Host: "o"}}})
			now := model.Instant(10 * time.Second)
			admitted, draws := 0, 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Duration(1e9 / perSecond))
				for _, e := range l.Step(now, Arrived{Request: "request", Workspace: "w", Deadline: now + 1e9}) {
					if s, ok := e.(Send); ok {
						draws++
						reply := o.Step(now, Received{From: "e", Msg: s.Msg})[0].(Send)
						for _, e := range l.Step(now.Add(time.Millisecond), Received{From: "o", Msg: reply.Msg}) {
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
					l.Step(now.Add(time.Millisecond), Tick{})
				}
			}
			b.ReportMetric(float64(draws)/float64(b.N), "draws/op")
			require.Equal(b, b.N, admitted)
		})
	}
}
