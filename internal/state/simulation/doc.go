// Package simulation contains tests that run all parts of the replicated state together under injected faults.
package simulation
