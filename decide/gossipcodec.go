package decide

import (
	"math"
	"strings"
)

// A gossip datagram is text: the version, two digits each of epoch and sequence number, and the entries.
// A datagram that begins otherwise is not understood and dropped. Gateways of different versions of this
// program exchange them, so the format is fixed.
const (
	gossipVersion     = "c"
	gossipHeadLength  = 5
	gossipEntryLength = 12 // customer 6 digits, plan 1, used 2, demanded 2, level 1
	maxGossipEntries  = (maxGossipBytes - gossipHeadLength) / gossipEntryLength

	totalModulus = 4096 // totals wrap at this

	// levelSteps are the steps of a level between 0 and a whole burst.
	levelSteps = 30.0
)

// gossipEntry is what a gateway reports of a customer.
type gossipEntry struct {
	key            uint64
	planNo         int
	used, demanded int // totals, see wrapTotal
	level          int // of the bucket that all gateways fill, in steps, see levelToSteps
}

func encodeGossipHead(b *strings.Builder, epoch, seq int) {
	b.WriteString(gossipVersion)
	encodeDigits(b, uint64(epoch), 2)
	encodeDigits(b, uint64(seq), 2)
}

func (e gossipEntry) encode(b *strings.Builder) {
	encodeDigits(b, e.key, 6)
	encodeDigits(b, uint64(e.planNo), 1)
	encodeDigits(b, uint64(e.used), 2)
	encodeDigits(b, uint64(e.demanded), 2)
	encodeDigits(b, uint64(e.level), 1)
}

// parseGossipHead checks a whole datagram and reads its head.
func parseGossipHead(s string) (epoch, seq int, ok bool) {
	if len(s) < gossipHeadLength || s[:1] != gossipVersion {
		return 0, 0, false
	}
	if (len(s)-gossipHeadLength)%gossipEntryLength != 0 {
		return 0, 0, false
	}
	if _, ok = decodeDigits(s[1:]); !ok {
		return 0, 0, false
	}
	head, _ := decodeDigits(s[1:gossipHeadLength])
	return int(head >> 12), int(head & 4095), true
}

// parseGossipEntry reads an entry of a datagram that was checked.
func parseGossipEntry(s string) gossipEntry {
	key, _ := decodeDigits(s[:6])
	rest, _ := decodeDigits(s[6:])
	return gossipEntry{
		key:      key,
		planNo:   int(rest >> 30),
		used:     int(rest >> 18 & 4095),
		demanded: int(rest >> 6 & 4095),
		level:    int(rest & 63),
	}
}

// wrapTotal is a total of units as it is sent.
func wrapTotal(units float64) int { return int(int64(math.Round(units)) & (totalModulus - 1)) }

// totalDifference is the step from one wrapped total to a later one. A total may also fall a little, as
// charges are given back.
func totalDifference(from, to int) float64 {
	const half = totalModulus / 2
	return float64((to-from+half+totalModulus)%totalModulus - half)
}

// levelToSteps is a level in units as it is sent.
func levelToSteps(units, burst float64) int {
	return int(min(maxDigit, math.Round(levelSteps*units/max(burst, 1))))
}

// stepsToLevel is a level that was sent, in units.
func stepsToLevel(steps int, burst float64) float64 { return float64(steps) / levelSteps * burst }
