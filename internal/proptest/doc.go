// Package proptest holds property-based tests of the decision cores of entries and
// sidecars. Several cores and models of the store and of callers run in one process
// on a simulated clock, under generated schedules of faults. Of the network only
// the latency, order and loss of messages and the loss of sessions are modelled.
package proptest
