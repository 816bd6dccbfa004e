// Package loadtest tests scheduling decisions of entries and sidecars under
// load: entries that share workers of unequal speed, sustained overload, failing
// workers. The decision cores of both run on a simulated clock, without processes
// or a network. The comment of each test describes its workload.
package loadtest
