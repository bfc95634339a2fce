package decide

import (
	"math"
	"strings"
)

// A gossip datagram is text: the version, an epoch and a sequence number of two digits each, and the
// entries. A datagram that begins with another version is dropped. The format is fixed, because gateways
// that run different versions of this program exchange datagrams.
const (
	gossipVersion      = "c"
	gossipHeaderLength = 5
	gossipEntryLength  = 12 // digits: customer 6, plan 1, used 2, demanded 2, level 1
	maxGossipEntries   = (maxGossipBytes - gossipHeaderLength) / gossipEntryLength

	totalModulus = 4096 // totals are sent modulo this number

	// levelSteps is the number of steps into which a level between 0 and a whole burst is quantized.
	levelSteps = 30.0
)

// gossipEntry is the report of a gateway on a customer.
type gossipEntry struct {
	key            uint64
	planIndex      int
	used, demanded int // totals of units, see wrapTotal
	// level is the level of the bucket that all gateways fill, in steps; see levelToSteps.
	level int
}

func encodeGossipHeader(b *strings.Builder, epoch, seq int) {
	b.WriteString(gossipVersion)
	encodeDigits(b, uint64(epoch), 2)
	encodeDigits(b, uint64(seq), 2)
}

func (e gossipEntry) encode(b *strings.Builder) {
	encodeDigits(b, e.key, 6)
	encodeDigits(b, uint64(e.planIndex), 1)
	encodeDigits(b, uint64(e.used), 2)
	encodeDigits(b, uint64(e.demanded), 2)
	encodeDigits(b, uint64(e.level), 1)
}

// parseGossipHeader checks a whole datagram and parses its header. ok is false if any part of the datagram
// is malformed.
func parseGossipHeader(s string) (epoch, seq int, ok bool) {
	if len(s) < gossipHeaderLength || s[:1] != gossipVersion {
		return 0, 0, false
	}
	if (len(s)-gossipHeaderLength)%gossipEntryLength != 0 {
		return 0, 0, false
	}
	if _, ok = decodeDigits(s[1:]); !ok {
		return 0, 0, false
	}
	header, _ := decodeDigits(s[1:gossipHeaderLength])
	return int(header >> 12), int(header & 4095), true
}

// parseGossipEntry parses an entry of a datagram that parseGossipHeader has accepted.
func parseGossipEntry(s string) gossipEntry {
	key, _ := decodeDigits(s[:6])
	rest, _ := decodeDigits(s[6:])
	return gossipEntry{
		key:       key,
		planIndex: int(rest >> 30),
		used:      int(rest >> 18 & 4095),
		demanded:  int(rest >> 6 & 4095),
		level:     int(rest & 63),
	}
}

// wrapTotal converts a total of units to its encoded form, which wraps at totalModulus.
func wrapTotal(units float64) int { return int(int64(math.Round(units)) & (totalModulus - 1)) }

// totalDifference returns the change from one encoded total to a later one. The change may be negative,
// because refunds reduce a total slightly.
func totalDifference(from, to int) float64 {
	const half = totalModulus / 2
	return float64((to-from+half+totalModulus)%totalModulus - half)
}

// levelToSteps converts a level in units to its encoded form.
func levelToSteps(units, burst float64) int {
	return int(min(maxDigit, math.Round(levelSteps*units/max(burst, 1))))
}

// stepsToLevel converts an encoded level to units.
func stepsToLevel(steps int, burst float64) float64 { return float64(steps) / levelSteps * burst }
