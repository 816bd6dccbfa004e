// Package loadtest holds tests of the decisions of entries and sidecars under
// load: entries that share workers of unequal speed, more work than the workers
// can do, workers that fail. The cores of both run on a simulated clock,
// without processes and network. Each test names the pattern of load that it
// guards.
package loadtest
