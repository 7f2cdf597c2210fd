//go:build race

package matrix_test

// schedules is how many random schedules run with the race detector, which makes them four times as slow.
const schedules = 6
