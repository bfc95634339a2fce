// The digits of messages between gateways; what is told and when stands in decide.go.

package decide

import (
	"math"
	"strings"
)

const digits = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"

func encodeDigits(b *strings.Builder, v uint64, n int) {
	for i := n - 1; i >= 0; i-- {
		b.WriteByte(digits[v>>(6*i)&63])
	}
}

// decode reads digits; ok is false if there are others.
func decodeDigits(s string) (v uint64, ok bool) {
	for i := 0; i < len(s); i++ {
		d := strings.IndexByte(digits, s[i])
		if d < 0 {
			return 0, false
		}
		v = v<<6 | uint64(d)
	}
	return v, true
}

// shortKey names a customer in messages: 36 bits of an FNV-1a hash.
func hashKey(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return (h ^ h>>36) & (1<<36 - 1)
}

// diff is the step from one two-digit total to a later one; totals wrap and may also fall a little.
func wrappedDifference(from, to int) float64 { return float64((to-from+2048+4096)%4096 - 2048) }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// word is what gateways and homes say to each other of one request: 'a' asks, 'r' answers, 'd' settles.
type grantMessage struct {
	kind              byte
	key, number       uint64
	plan, figureCount int
	figures           [4]float64 // n figures, in steps of a wordSteps-th
	inFlight          float64    // work that the sender has open ...
	responseRate      float64    // ... and answers a second that it gets
	observationCount  int
	observations      [observationsPerMessage]observation
}

// sight is how one request fared at a server: x times its class's usual time.
type observation struct {
	endpoint        uint64
	class           int
	relativeLatency float64
	failed          bool
}

const (
	grantHeadLength    = 12
	responseRateSteps  = 4 // of the answers a second that a word tells
	figureSteps        = 16
	observationLength  = 4         // server of three digits; class and level of one
	shortIDMask        = 1<<18 - 1 // of a server's name
	failedLevel        = 6         // level of a sight for no answer or an error; under it doublings of firstX
	minRelativeLatency = 0.35
	maxObservedClass   = 7 // number of the last class that a sight can name
)

func (v observation) encode(b *strings.Builder) {
	level := min(failedLevel-1, max(0, math.Round(math.Log2(max(v.relativeLatency, minRelativeLatency)/minRelativeLatency))))
	if v.failed {
		level = failedLevel
	}
	encodeDigits(b, v.endpoint, 3)
	encodeDigits(b, uint64(v.class&7<<3|int(level)), 1)
}

func parseObservation(s string) (v observation, ok bool) {
	d, ok := decodeDigits(s)
	level := int(d & 7)
	return observation{endpoint: d >> 6, class: int(d >> 3 & 7), relativeLatency: minRelativeLatency * math.Exp2(float64(min(level, failedLevel-1))),
		failed: level >= failedLevel}, ok
}

func (w grantMessage) encode() string {
	var b strings.Builder
	b.WriteByte(w.kind)
	encodeDigits(&b, w.key, 6)
	encodeDigits(&b, uint64(w.plan), 1)
	encodeDigits(&b, w.number&4095, 2)
	encodeDigits(&b, uint64(min(63, max(0, math.Round(w.inFlight)))), 1)
	encodeDigits(&b, uint64(min(63, max(0, math.Round(responseRateSteps*w.responseRate)))), 1)
	for _, x := range w.figures[:w.figureCount] {
		encodeDigits(&b, uint64(min(4095, max(0, 2048+math.Round(x*figureSteps)))), 2)
	}
	if w.observationCount > 0 {
		b.WriteByte('.')
	}
	for _, v := range w.observations[:w.observationCount] {
		v.encode(&b)
	}
	return b.String()
}

func parseGrantMessage(s string) (w grantMessage, ok bool) {
	s, news, _ := strings.Cut(s, ".")
	if len(news)%observationLength != 0 || len(news) > observationsPerMessage*observationLength {
		return w, false
	}
	if len(s) < grantHeadLength || len(s)%2 != 0 || (len(s)-grantHeadLength)/2 > len(w.figures) {
		return w, false
	}
	head, ok := decodeDigits(s[1 : grantHeadLength-2])
	w.kind, w.key, w.plan, w.number = s[0], head>>18, int(head>>12&63), head&4095
	load, ok2 := decodeDigits(s[grantHeadLength-2 : grantHeadLength])
	w.inFlight, w.responseRate, ok = float64(load>>6), float64(load&63)/responseRateSteps, ok && ok2
	for s = s[grantHeadLength:]; s != "" && ok; s = s[2:] {
		var x uint64
		x, ok = decodeDigits(s[:2])
		w.figures[w.figureCount] = (float64(x) - 2048) / figureSteps
		w.figureCount++
	}
	for ; news != "" && ok; news = news[observationLength:] {
		w.observations[w.observationCount], ok = parseObservation(news[:observationLength])
		w.observationCount++
	}
	return w, ok
}

func (g *Gateway) sendGrantMessage(to int, kind byte, c *customer, no uint64, v ...float64) {
	w := grantMessage{kind: kind, key: c.key, plan: c.planNo, number: no, figureCount: len(v)}
	copy(w.figures[:], v)
	w.observations, w.observationCount = g.recent.entries, g.recent.count
	w.inFlight, w.responseRate = g.totals.inFlight, g.responseRate.perSecond(g.now)
	g.emit(SendGossip{to, w.encode()})
}

// What peers tell all others: a head, and an entry for each customer of which something changed.
const (
	maxGossipBytes    = 256  // bytes of a message
	gossipVersion     = "c"  // messages that begin otherwise are not understood and dropped
	gossipHeadLength  = 5    // version; two digits each: epoch, number
	gossipEntryLength = 12   // customer of six digits, plan, used of two, asked of two, level
	levelSteps        = 30.0 // digits of a told level for a whole burst
)

func encodeGossipHead(b *strings.Builder, epoch, seq int) {
	b.WriteString(gossipVersion)
	encodeDigits(b, uint64(epoch), 2)
	encodeDigits(b, uint64(seq), 2)
}

// parseHead checks a whole message and reads its head.
func parseGossipHead(s string) (epoch, seq int, ok bool) {
	if len(s) < gossipHeadLength || s[:1] != gossipVersion || (len(s)-gossipHeadLength)%gossipEntryLength != 0 {
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
