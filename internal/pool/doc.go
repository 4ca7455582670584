// Package pool decides which target runs a request. It keeps the announcements and
// slots of the targets, queues requests fairly between workspaces, detects and
// ejects failing targets, bounds retries and quarantines requests that crash
// targets.
//
// The package has two pure state machines. The Owner holds the state of the
// services whose shards its host owns. The Picker of each entry host asks the owner
// of a service for a target, and chooses one by a local policy while there is no
// owner.
//
// # Contract with the runtime
//
// The runtime sends a Tick every 20 ms, delivers a Send to its own host locally,
// and passes the result of a Probe effect to the picker as Probed, whichever core
// asked for the probe. The slice that Step returns is valid until the next Step of
// the same core. Instants are always greater than 0.
//
// # Detection of failing targets
//
// For each target the owner keeps one-sided cumulative sums (CUSUM) of
// log-likelihood ratios, in nats, and ejects the target when a sum reaches its
// limit. The error sum tests for an error share of 15 % against the share of the
// peers, the slow sum for 2.5 times and the stuck sum for 6 times the latency of
// the peers. A cumulative sum needs no window and is the quickest test for a given
// rate of false alarms.
//
// Latency is compared with the median of the other targets in the same half second,
// so that slowness of the whole service cancels out. A lasting difference of up to
// 1.5 times that the target has shown over a minute is subtracted. An attempt in
// progress is weighted by the share of the peers' attempts that take as long. When
// more than half of the targets show evidence, the cause is taken to be common and
// none is ejected. A failing target that the floor keeps in service gets a tenth of
// its share.
//
// Failed connections count fully only when several hosts report them: a host whose
// attempts fail at three targets without any response is cut off itself. Its
// reports are ignored and it holds at most three slots. A broken attempt counts as
// a crash once another host was refused a connection, or the target announced a new
// incarnation.
//
// # Protocol decisions
//
//   - Within one incarnation the state of a target only moves forward, from ready
//     to draining to leaving, since announcements are not numbered and may arrive
//     out of order. A target that wants to be ready again needs a new incarnation.
//   - A slot is freed 100 ms after the deadline of its request, so that the report
//     of a timeout arrives first.
//   - A picker considers the owner lost after 250 ms without a reply to any query.
//     Without an owner it keeps at most twice its usual number of attempts in flight.
//   - A target of the last view is used without an owner for 3 s, and afterwards
//     only if it announced itself to this host.
//   - A fingerprint whose request completes after a crash loses one crash, so that
//     requests that only shared the crashed target are not refused.
//   - A fingerprint with two broken attempts is not retried until it is known
//     whether they were crashes.
//   - A restore report covers a shard, so that a host that uses none of its
//     services also counts as one that reported. Reports of hosts that are not
//     members are not answered.
//   - Requests query a new owner when it says that it is ready, or after
//     RestoreTimeout. A picker ignores an assignment of an earlier owner, since the
//     report to the present owner does not contain it. After a local choice the
//     picker reports again.
//   - Broken attempts of the last 30 s are reported to every new owner, because a
//     new owner knows none. The owner remembers the ends of slots that it did not
//     assign, so that none counts twice. A broken attempt on an earlier incarnation
//     than the announced one was a crash.
//   - A new owner merges the quarantined requests of all reported views, and takes
//     ejections from the newest view. A target whose ejection ended while there
//     was no owner returns with a small share of the traffic.
//   - Restored attempts may wait inside the target. Their latencies are ignored;
//     the evidence is how long the target takes for all of them together.
//
// # Limits
//
// Without an owner, the hosts together may use more slots of a target than it
// announced; the next owner assigns none of them until enough of these requests
// have ended. A host that is lost together with the owner does not report, so its
// requests are not counted. Fingerprints with one crash, targets on probation or in
// a slow start, and targets that the floor keeps in service are not part of the
// view and are lost with their owner. A view is up to 500 ms old, and a host that
// has not used a service for a minute keeps its view up to date only while the
// service has quarantined requests.
//
// One SlotAsk with its SlotDone costs at most 2 us and 2 allocations at 18 and 60
// targets (BenchmarkDecision). A picker makes 5 allocations in the three steps of a
// request, at most 2 in each. These bounds do not hold for a query that waits: each
// freed slot costs a scan of the waiting workspaces and of the targets, and each
// tick visits every waiting query. Nor do they hold with many quarantined
// fingerprints, since each query is compared with all of them, at most 256.
// Evaluation runs 20 times a second outside the path of a request; it sorts the
// targets several times and visits the 80 latency bins of each.
package pool
