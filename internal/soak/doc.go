// Package soak runs the real programs as separate processes on loopback, injects
// seeded faults from outside and checks the guarantees of the fleet against what
// callers, targets and operators see. All of its code is in tests.
//
// A seed always gives the same schedule of faults. The outcome may still differ
// between runs, since the timing of the processes is not controlled.
package soak
