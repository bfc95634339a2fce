package aggregate

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"winghatch/internal/encoding"
)

// Messages, integers little-endian: the sender's incarnation and its age in nanoseconds of 8 bytes each, the number of
// its report of 4, then entries: hash of the key of 8, served, rejected and failed as varints, units of 8 bytes of
// IEEE 754.
const (
	headerBytes     = 8 + 8 + 4
	hashBytes       = 8
	maxEntryBytes   = 50   // of 46: the hash, three varints of up to 10 and the units
	maxMessageBytes = 1000 // below the bound of package gossip on a datagram's text
)

type reportHeader struct {
	incarnation uint64
	age         time.Duration
	sequence    uint32
}

// encodeReports are the messages of one report to an owner.
func (a *Aggregator) encodeReports(to int, due []*localTotals) (out []Send) {
	if len(due) > 0 {
		a.sequence[to]++ // an empty report is not sent, and so is not the first one
	}
	header := binary.LittleEndian.AppendUint64(nil, a.settings.Incarnation)
	header = binary.LittleEndian.AppendUint64(header, uint64(a.now-a.startedAt))
	header = binary.LittleEndian.AppendUint32(header, a.sequence[to])
	b := slices.Clone(header)
	for _, local := range due {
		if len(b) > maxMessageBytes-maxEntryBytes {
			out = append(out, Send{to, b})
			b = slices.Clone(header)
		}
		b = binary.LittleEndian.AppendUint64(b, local.hash)
		b = binary.AppendUvarint(b, local.Served)
		b = binary.AppendUvarint(b, local.Rejected)
		b = binary.AppendUvarint(b, local.Failed)
		b = encoding.AppendFloat64(b, local.Units)
	}
	if len(b) > headerBytes {
		out = append(out, Send{to, b})
	}
	return out
}

// decodeHeader reads the header of a message and returns the entries behind it.
func decodeHeader(data []byte) (h reportHeader, entries []byte, ok bool) {
	if len(data) < headerBytes {
		return h, nil, false
	}
	h.incarnation = binary.LittleEndian.Uint64(data)
	h.age = time.Duration(binary.LittleEndian.Uint64(data[8:]))
	h.sequence = binary.LittleEndian.Uint32(data[16:])
	return h, data[headerBytes:], true
}

// decodeEntries calls take with each entry, up to the first that is malformed.
func decodeEntries(entries []byte, take func(hash uint64, t Totals)) {
	r := &encoding.Reader{Rest: entries}
	for len(r.Rest) >= hashBytes {
		hash := r.Uint64()
		t := Totals{
			Served:   r.Uvarint(math.MaxUint64),
			Rejected: r.Uvarint(math.MaxUint64),
			Failed:   r.Uvarint(math.MaxUint64),
			Units:    r.Float64(),
		}
		if r.Malformed || t.Units < 0 {
			return
		}
		take(hash, t)
	}
}
