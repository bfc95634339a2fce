package decide

import (
	"math"
	"strings"
)

const (
	// bytes of a message
	maxGossipBytes = 256
	// messages that begin otherwise are not understood and dropped
	gossipVersion = "c"
	// version; two digits each: epoch, number
	gossipHeadLength = 5
	// customer of six digits, plan, used of two, asked of two, level
	gossipEntryLength = 12
	// digits of a told level for a whole burst
	levelSteps = 30.0
)

// diff is the step from one two-digit total to a later one; totals wrap and may also fall a little.
func wrappedDifference(from, to int) float64 { return float64((to-from+2048+4096)%4096 - 2048) }

func encodeGossipHead(b *strings.Builder, epoch, seq int) {
	b.WriteString(gossipVersion)
	encodeDigits(b, uint64(epoch), 2)
	encodeDigits(b, uint64(seq), 2)
}

// parseHead checks a whole message and reads its head.
func parseGossipHead(s string) (epoch, seq int, ok bool) {
	if len(s) < gossipHeadLength || s[:1] != gossipVersion || (len(
		s)-gossipHeadLength)%gossipEntryLength != 0 {
		return 0, 0, false
	}
	if _, ok = decodeDigits(s[1:]); !ok {
		return 0, 0, false
	}
	head, _ := decodeDigits(s[1:gossipHeadLength])
	return int(head >> 12), int(head & 4095), true
}

func (c *customer) encodeGossipEntry(b *strings.Builder) {
	encodeDigits(b, c.key, 6)
	encodeDigits(b, uint64(c.planNo), 1)
	encodeDigits(b, uint64(int64(math.Round(c.usedTotal)))&4095, 2)
	encodeDigits(b, uint64(int64(math.Round(c.demandTotal)))&4095, 2)
	encodeDigits(b, uint64(min(63, math.Round(levelSteps*c.fleetLevel/max(c.plan.Burst, 1)))), 1)
}

// parseEntry reads an entry of a checked message; the level is a part of the burst.
func parseGossipEntry(s string) (key uint64, plan, used, asked int, level float64) {
	key, _ = decodeDigits(s[:6])
	v, _ := decodeDigits(s[6:])
	return key, int(v >> 30), int(v >> 18 & 4095), int(v >> 6 & 4095), float64(v&63) / levelSteps
}
