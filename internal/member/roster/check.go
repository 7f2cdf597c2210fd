package roster

import (
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/zeebo/errs"

	"lycheevale/internal/place/residency"
)

// Limits of an announcement.
const (
	maxName     = 128       // bytes of a name
	maxNumber   = 1 << 53   // of a start time or a sequence number; JSON keeps smaller numbers exactly
	maxSlots    = 1<<16 - 1 // connections from one address to one port
	maxModels   = 256
	maxHoldings = 4096
	maxVersion  = 1<<31 - 1 // of an adapter
)

// Check returns ErrInvalid, with the field, if an announcement can't name an endpoint to use.
func (a Announcement) Check() error {
	switch {
	case !validName(a.ID):
		return invalid("ID", shorten(a.ID))
	case a.Born < 0 || a.Born >= maxNumber:
		return invalid("start", a.Born)
	case a.Gone:
		return nil
	case !validName(a.Service):
		return invalid("service", shorten(a.Service))
	case a.DataCentre != "" && !validName(a.DataCentre): // without one, the endpoint counts as far away
		return invalid("data centre", shorten(a.DataCentre))
	case !a.usableAddress():
		return invalid("address", shorten(a.Address.String()))
	case a.Software != "" && !validName(a.Software):
		return invalid("software version", shorten(a.Software))
	case a.Sequence >= maxNumber:
		return invalid("sequence number", a.Sequence)
	case a.Slots < 1 || a.Slots > maxSlots:
		return invalid("number of slots", a.Slots)
	case len(a.Models) > maxModels:
		return invalid("number of models", len(a.Models))
	case len(a.Holdings) > maxHoldings:
		return invalid("number of adapters", len(a.Holdings))
	}
	if i := slices.IndexFunc(a.Models, func(m string) bool { return !validName(m) }); i >= 0 {
		return invalid("model", shorten(a.Models[i]))
	}
	if i := slices.IndexFunc(a.Holdings, invalidHolding); i >= 0 {
		h := a.Holdings[i]
		return invalid("adapter", shorten(h.Model)+"/"+shorten(h.Name))
	}
	return nil
}

func invalid(field string, value any) error {
	return errs.Combine(ErrInvalid, errs.New("%s %v", field, value))
}

// shorten limits a text of another writer in errors.
func shorten(text string) string {
	const longest = 64
	if len(text) > longest {
		text = text[:longest] + "..."
	}
	return strings.ToValidUTF8(text, "?")
}

// validName reports whether a text can be sent as a name in messages and header fields.
func validName(s string) bool {
	return s != "" && len(s) <= maxName && utf8.ValidString(s) && strings.TrimSpace(s) == s && !strings.ContainsFunc(s, unicode.IsControl)
}

// usableAddress reports whether the address is that of one machine and port.
func (a Announcement) usableAddress() bool {
	ip := a.Address.Addr()
	return a.Address.IsValid() && a.Address.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == ""
}

func invalidHolding(h residency.Holding) bool {
	return !validName(h.Model) || !validName(h.Name) || h.Version < 0 || h.Version > maxVersion
}
