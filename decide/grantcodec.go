package decide

import (
	"math"
	"strings"
)

const (
	grantHeadLength = 12
	// of the answers a second that a word tells
	responseRateSteps = 4
	figureSteps       = 16
	// server of three digits; class and level of one
	observationLength = 4
	// of a server's name
	shortIDMask = 1<<18 - 1
	// level of a sight for no answer or an error; under it doublings of firstX
	failedLevel        = 6
	minRelativeLatency = 0.35
	// number of the last class that a sight can name
	maxObservedClass = 7
)

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

func (v observation) encode(b *strings.Builder) {
	level := min(failedLevel-1, max(0, math.Round(math.Log2(max(v.relativeLatency,
		minRelativeLatency)/minRelativeLatency))))
	if v.failed {
		level = failedLevel
	}
	encodeDigits(b, v.endpoint, 3)
	encodeDigits(b, uint64(v.class&7<<3|int(level)), 1)
}

func parseObservation(s string) (v observation, ok bool) {
	d, ok := decodeDigits(s)
	level := int(d & 7)
	return observation{endpoint: d >> 6, class: int(d >> 3 & 7),
		relativeLatency: minRelativeLatency * math.Exp2(float64(min(level, failedLevel-1))),
		failed:          level >= failedLevel}, ok
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
