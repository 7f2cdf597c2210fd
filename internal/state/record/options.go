package record

// Options are the settings of a Store.
type Options struct {
	Disk         Disk
	SegmentBytes int64 // length at which a segment is closed
}

// Option sets one of the Options.
type Option func(*Options)

// defaultSegmentBytes keeps the time to read one segment at a restart well below a second on a slow disk (about
// 100 MB/s).
const defaultSegmentBytes = 16 << 20

// WithDisk sets the disk operations.
func WithDisk(d Disk) Option {
	return func(o *Options) { o.Disk = d }
}

// WithSegmentBytes sets the length in bytes at which a segment is closed.
func WithSegmentBytes(n int64) Option {
	return func(o *Options) { o.SegmentBytes = n }
}
