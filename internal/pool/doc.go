// Package pool decides which target runs a request: announcements, slots,
// queueing between workspaces, detection and ejection of failing targets,
// retry budgets and the quarantine of requests that crash targets. The owner
// core holds all state of the services in its shards; the picker core of each
// entry host asks the owner and falls back to a local policy without one.
// Both are pure state machines.
//
// # What a runtime does
//
// It sends a Tick every 20 ms, delivers a Send to the own host locally, and
// gives the result of a Probe effect to the picker as Probed, whichever core
// asked for it. The slice that Step returns is valid until the next Step of the
// same core. Times are never negative, and start above 0.
//
// # Detection
//
// For each target the owner keeps one-sided cumulative sums of log-likelihood
// ratios, in nats, and ejects at a limit: the error sum looks for a share of
// errors of 15 % against that of the peers, the slow sum for 2.5 times and the
// stuck sum for 6 times their latency. A cumulative sum needs no window and is
// the quickest test for a given rate of false alarms. Latency is compared with
// the median of the other targets in the same half second, so that a service
// that is slow as a whole cancels out, and less a lasting difference of up to
// 1.5 times that the target has shown over a minute. Attempts in progress count
// by how few of the peers' attempts take as long. When more than half of the
// targets show evidence, the cause is common and none is ejected. A target that
// the floor keeps in service gets a tenth of its share.
//
// Failures of connections count fully only when several hosts report them: a
// host that fails at three targets without any response is cut off itself. Its
// reports are set aside and it holds at most three slots. A crash counts once
// another host was refused, or the target announced a new incarnation.
//
// # Decisions left open by docs/design.md
//
//   - Within one incarnation a target's state only moves forward, from ready to
//     draining to leaving, since announcements are not numbered and may arrive
//     out of order. A target that wants to be ready again needs a new incarnation.
//   - A slot is freed 100 ms after the deadline, so that the report of a timeout
//     arrives before it.
//   - A picker takes an owner for lost after 250 ms without a reply to any query,
//     and then keeps to twice its usual number of attempts in flight.
//   - A target of the last view is used without an owner for 3 s, and then only
//     if it announced itself to this host.
//   - A fingerprint that runs to its end after a crash loses one crash, so that
//     requests that only shared the target are not refused.
//   - A fingerprint with two broken attempts is not retried while it is not known
//     whether they were crashes.
//   - A restore report covers a shard, so that a host that uses none of its
//     services counts as one that reported. Reports of hosts that are not
//     members stay unanswered.
//   - Requests ask a new owner when it says that it is ready, or after
//     RestoreWait. A picker ignores an assignment of an earlier owner, since its
//     report does not contain it, and reports again after a local choice.
//   - Broken attempts of the last 30 s are reported to every new owner, because
//     each starts without any. The owner remembers the ends of slots that it did
//     not give, so that none counts twice. An attempt on an earlier run of a
//     target than the announced one was a crash.
//   - Quarantined requests of all reported views are united; ejections come from
//     the newest view. A target whose ejection ended while there was no owner
//     returns with a small share.
//   - Evidence of restored attempts is how long the target takes for all of them,
//     since some may wait inside the target; their latencies are not used.
//
// # Limits
//
// Without an owner, hosts together may give a target more than its slots; the
// next owner gives it none until these requests ended. A host that is lost with
// its owner does not report, so its requests are not counted. Fingerprints with
// one crash, targets on probation or in a slow start, and targets that the floor
// keeps in service are not part of the view, and are forgotten with their owner.
// A view is up to 500 ms old, and a host that did not use a service for a minute
// has none without quarantined requests.
//
// One SlotAsk with its SlotDone costs at most 2 us and 2 allocations at 18 and
// 60 targets (BenchmarkDecision). A picker spends 5 allocations in the three
// steps of a request, at most 2 in each. The bounds do not hold for a query
// that waits: with W workspaces waiting, each freed slot costs a scan of W and
// of the targets, and each tick visits every waiting query. They do not hold
// with many refused fingerprints either: each query is compared with all of
// them, at most 256. Evaluation, 20 times a second and not on the path of a
// request, sorts the targets several times and visits 80 bins of each.
package pool
