// Package state groups the durable and replicated state; its tests run all parts together under faults.
package state
