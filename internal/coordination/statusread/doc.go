// Package statusread decides when the read barriers behind users' questions are sent, sent
// again and given up. It is pure: it neither calls the state service nor reads the clock.
//
// A read barrier is a transaction that only compares: it proves that what the replica knew
// of some jobs when the barrier was sent was still what was stored when it was executed. It
// proves that for every question asked before it was sent, so a question may be covered by
// several barriers at once, and the first one that is answered decides it. Having no effect,
// a barrier whose answer is late can be sent again at once.
package statusread
