package record

// Options are the settings of a Store.
type Options struct {
	Disk         Disk
	SegmentBytes int64 // a segment is closed once it is at least this long
}

// Option sets one of the Options.
type Option func(*Options)

// defaultSegmentBytes keeps the read of one segment at restart well under a second on a slow disk (about 100 MB/s).
const defaultSegmentBytes = 16 << 20

// WithDisk sets the disk operations.
func WithDisk(d Disk) Option {
	return func(o *Options) { o.Disk = d }
}

// WithSegmentBytes sets the length in bytes from which on a segment is closed.
func WithSegmentBytes(n int64) Option {
	return func(o *Options) { o.SegmentBytes = n }
}
