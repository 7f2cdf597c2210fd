//go:build !race

package matrix_test

// schedules is how many random schedules run.
const schedules = 160
