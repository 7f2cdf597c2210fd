package report

import (
	"encoding/base64"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("report")

// Reports and updates are the most frequent and largest messages of a deployment. They are encoded as CBOR inside the JSON
// messages between instances, because JSON alone took over half of a leader's processor time at 75 entries.

type plainEntry Entry

// MarshalJSON implements json.Marshaler.
func (e Entry) MarshalJSON() ([]byte, error) { return encode(plainEntry(e)) }

// UnmarshalJSON implements json.Unmarshaler.
func (e *Entry) UnmarshalJSON(data []byte) error { return decode(data, (*plainEntry)(e)) }

type plainUpdate Update

// MarshalJSON implements json.Marshaler.
func (u Update) MarshalJSON() ([]byte, error) { return encode(plainUpdate(u)) }

// UnmarshalJSON implements json.Unmarshaler.
func (u *Update) UnmarshalJSON(data []byte) error { return decode(data, (*plainUpdate)(u)) }

func encode(v any) (data []byte, err error) {
	defer func() { err = Error.Wrap(err) }()
	packed, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	data = make([]byte, 0, base64.StdEncoding.EncodedLen(len(packed))+len(`""`))
	return append(base64.StdEncoding.AppendEncode(append(data, '"'), packed), '"'), nil
}

// decoding accepts names that are no UTF-8, which callers and endpoints may send: one of them must not spoil a whole message. The size of a message
// limits its lists.
var decoding, errDecoding = cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: maxList, MaxMapPairs: maxList}.DecMode()

// maxList is above the number of elements that fit into the largest message.
const maxList = 16 << 20

func decode(data []byte, v any) (err error) {
	defer func() { err = Error.Wrap(err) }()
	if len(data) < len(`""`) || data[0] != '"' {
		return errs.New("message of %d bytes is not a string", len(data))
	}
	packed, err := base64.StdEncoding.AppendDecode(nil, data[1:len(data)-1])
	if err != nil {
		return err
	}
	if errDecoding != nil {
		return errDecoding
	}
	return decoding.Unmarshal(packed, v)
}
