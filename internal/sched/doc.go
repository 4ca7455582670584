// Package sched decides which waiting query gets a slot that becomes free, which query
// is refused at once and which waiting query gives way to a more urgent one.
//
// Queries are served by rank; within a rank, the workspace that has used least of its
// fair share goes first (start-time fair queueing in slot time); within a workspace,
// the earliest objective that can still be met, then arrival. A rank that waits gets at
// least one in ten slots, so that no rank starves.
//
// The package is pure: time comes in as model.Instant, and random numbers come from a
// source that the caller seeds.
package sched
