package aggregate

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"winghatch/internal/encoding"
)

// A message has a header: the incarnation of the sender (8 bytes), the age of its process in nanoseconds (8
// bytes) and the number of the report (4 bytes). Entries follow: the hash of the key (8 bytes), the requests
// served, rejected and failed (varints), and the units (an IEEE 754 double). Numbers of fixed size are
// little-endian.
const (
	headerBytes     = 8 + 8 + 4
	hashBytes       = 8
	maxEntryBytes   = 50   // an entry has at most 46: the hash, three varints of up to 10, the units
	maxMessageBytes = 1000 // below the limit of package gossip for the payload of a datagram
)

// reportHeader is the header of a message.
type reportHeader struct {
	incarnation uint64
	age         time.Duration // time since the process of the sender started
	sequence    uint32        // number of the report to this owner, from 1
}

// encodeReports returns the messages of one report to an owner.
func (a *Aggregator) encodeReports(to int, due []*localTotals) (out []Send) {
	if len(due) > 0 {
		a.sequence[to]++ // an empty report is not sent, so it must not count as the first one
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

// decodeHeader decodes the header of a message and returns the bytes of the entries after it. ok is false if
// the message is shorter than a header.
func decodeHeader(data []byte) (h reportHeader, entries []byte, ok bool) {
	if len(data) < headerBytes {
		return h, nil, false
	}
	h.incarnation = binary.LittleEndian.Uint64(data)
	h.age = time.Duration(binary.LittleEndian.Uint64(data[8:]))
	h.sequence = binary.LittleEndian.Uint32(data[16:])
	return h, data[headerBytes:], true
}

// decodeEntries calls take for each entry up to the first malformed one.
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
