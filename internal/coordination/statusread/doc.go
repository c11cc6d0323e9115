// Package statusread decides when the read barriers behind users' status requests are
// sent, resent and given up. It is pure: it neither calls the state service nor reads the
// clock.
//
// A read barrier is a transaction that only compares. It proves that what the replica knew
// of some jobs when the barrier was sent was still stored when the barrier was executed.
// This holds for every read that was opened before the barrier was sent, so several
// barriers may cover the same read, and the first one that is answered decides it. Because
// a barrier has no effect, it can be resent as soon as its answer is late.
package statusread
