package bench

import "time"

// Options are the settings of Run.
type Options struct {
	Profiles map[string]string // policy file by site, read from the working directory
	Seeds    int
	Length   time.Duration // virtual time of one run
	Report   string        // directory of the report, empty for none
	Parallel int           // runs at once

	Policies  []string // names of the policies to run, all when empty
	AloneOnly string   // the only policy to run with faults and with each customer alone, all when empty
}

// Option sets one of the Options.
type Option func(*Options)

// WithSeeds sets the number of seeds.
func WithSeeds(n int) Option {
	return func(o *Options) { o.Seeds = n }
}

// WithLength sets the virtual time of one run.
func WithLength(d time.Duration) Option {
	return func(o *Options) { o.Length = d }
}

// WithReport sets the directory that the report is written to; empty writes none.
func WithReport(directory string) Option {
	return func(o *Options) { o.Report = directory }
}

// WithProfiles sets the policy files by site name, "banksia" and "koro".
func WithProfiles(files map[string]string) Option {
	return func(o *Options) { o.Profiles = files }
}

// WithParallel sets how many runs are computed at once.
func WithParallel(n int) Option {
	return func(o *Options) { o.Parallel = n }
}
