// Package simulation holds tests that run all parts of the replicated state together under faults.
package simulation
