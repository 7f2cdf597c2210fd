//go:build race

package matrix_test

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
)

// schedules is how many random schedules run with the race detector, which makes them four times as slow.
const schedules = 6

// shardVariable tells a process which part of the cells it runs, as NUMBER/COUNT.
const shardVariable = "MATRIX_SHARD"

// TestMain divides the cells among processes: under the race detector each process runs its bubbles on one processor (see
// base/virtualtime), where all cells together took over ten minutes.
func TestMain(m *testing.M) {
	if os.Getenv(shardVariable) != "" {
		os.Exit(m.Run())
	}
	count := runtime.NumCPU()
	var group errgroup.Group
	for number := 1; number < count; number++ {
		group.Go(func() error { return runShard(number, count) })
	}
	if err := os.Setenv(shardVariable, fmt.Sprintf("0/%d", count)); err != nil {
		panic(err)
	}
	code := m.Run()
	if err := group.Wait(); err != nil {
		fmt.Println(err)
		code = 1
	}
	os.Exit(code)
}

func runShard(number, count int) error {
	// The log of files that tests read belongs to the first process.
	args := slices.DeleteFunc(slices.Clone(os.Args[1:]), func(arg string) bool { return strings.HasPrefix(arg, "-test.testlogfile") })
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d/%d", shardVariable, number, count))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("shard %d of %d: %w\n%s", number, count, err, out)
	}
	return nil
}

// mine tells whether this process runs a cell.
func mine(cell int) bool {
	number, count, _ := strings.Cut(os.Getenv(shardVariable), "/")
	n, err := strconv.Atoi(number)
	if err != nil {
		panic(err)
	}
	of, err := strconv.Atoi(count)
	if err != nil {
		panic(err)
	}
	return cell%of == n
}
