package record

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// Record is one entry of the store.
type Record struct {
	Kind  byte   // defined by the user of the store, except KindState
	Index uint64 // position in the user's log; Truncate compares with it
	Data  []byte
}

// KindState marks a record of which only the latest is valid; the store repeats it at the start of each segment.
const KindState byte = 0

// MaxDataBytes limits the size of one record, so that a corrupted length cannot cause a huge allocation.
const MaxDataBytes = 64 << 20

// A frame is: magic, checksum, length, batch, index (little endian), kind, flags, data.
const (
	frameMagic   = uint32(0x4c56_5243)
	frameHeader  = 4 + 4 + 4 + 8 + 8 + 1 + 1
	checksumAt   = 4
	checkedFrom  = 8
	flagBatchEnd = byte(1)
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type frame struct {
	Record
	batch uint64 // number of the write that contained the frame
	end   bool   // last frame of its batch
	size  int
}

// checksum also covers segment and offset, so that a copy of a frame inside other data is never valid.
func checksum(segment uint64, offset int64, checked []byte) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:8], segment)
	binary.LittleEndian.PutUint64(place[8:], uint64(offset))
	sum := crc32.Update(0, castagnoli, place[:])
	return crc32.Update(sum, castagnoli, checked)
}

func appendFrame(b []byte, segment uint64, offset int64, f frame) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(f.Data)))
	b = binary.LittleEndian.AppendUint64(b, f.batch)
	b = binary.LittleEndian.AppendUint64(b, f.Index)
	flags := byte(0)
	if f.end {
		flags = flagBatchEnd
	}
	b = append(b, f.Kind, flags)
	b = append(b, f.Data...)
	sum := checksum(segment, offset, b[start+checkedFrom:])
	binary.LittleEndian.PutUint32(b[start+checksumAt:], sum)
	return b
}

// decodeFrame decodes the frame at the start of b, which is located at offset in the segment.
func decodeFrame(b []byte, segment uint64, offset int64) (f frame, ok bool) {
	if len(b) < frameHeader || binary.LittleEndian.Uint32(b) != frameMagic {
		return frame{}, false
	}
	length := int64(binary.LittleEndian.Uint32(b[8:]))
	if length > MaxDataBytes || frameHeader+length > int64(len(b)) {
		return frame{}, false
	}
	size := frameHeader + int(length)
	if checksum(segment, offset, b[checkedFrom:size]) != binary.LittleEndian.Uint32(b[checksumAt:]) {
		return frame{}, false
	}
	f.batch = binary.LittleEndian.Uint64(b[12:])
	f.Index = binary.LittleEndian.Uint64(b[20:])
	f.Kind = b[28]
	f.end = b[29]&flagBatchEnd != 0
	f.Data = bytes.Clone(b[frameHeader:size])
	f.size = size
	return f, true
}

// decodedSegment is the content of one segment up to its first invalid byte.
type decodedSegment struct {
	frames        []frame
	validBytes    int64  // length of the valid part
	nextBatch     uint64 // batch number expected for a frame after the valid part
	hasLaterBatch bool   // a valid frame of a later batch follows the invalid part
}

// decodeSegment decodes the frames of a segment; batch is the batch number expected for the first frame.
//
// Any parts of an unsynced write of several frames may reach the disk. A valid frame after an invalid one therefore proves
// corruption of synced data only if it belongs to a later batch, which is written only after the previous batch is synced.
func decodeSegment(b []byte, segment, batch uint64) decodedSegment {
	d := decodedSegment{nextBatch: batch}
	for int(d.validBytes) < len(b) {
		f, ok := decodeFrame(b[d.validBytes:], segment, d.validBytes)
		if !ok || f.batch != d.nextBatch {
			d.hasLaterBatch = containsLaterBatch(b, segment, d.validBytes, d.nextBatch)
			return d
		}
		d.frames = append(d.frames, f)
		d.validBytes += int64(f.size)
		if f.end {
			d.nextBatch = f.batch + 1
		}
	}
	return d
}

func containsLaterBatch(b []byte, segment uint64, from int64, batch uint64) bool {
	var magic [4]byte
	binary.LittleEndian.PutUint32(magic[:], frameMagic)
	for at := from; ; at++ {
		skip := bytes.Index(b[at:], magic[:])
		if skip < 0 {
			return false
		}
		at += int64(skip)
		if f, ok := decodeFrame(b[at:], segment, at); ok && f.batch > batch {
			return true
		}
	}
}
