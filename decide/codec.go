// The digits of messages between gateways; what is told and when stands in decide.go.

package decide

import (
	"math"
	"strings"
)

const digits = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_"

func encode(b *strings.Builder, v uint64, n int) {
	for i := n - 1; i >= 0; i-- {
		b.WriteByte(digits[v>>(6*i)&63])
	}
}

// decode reads digits; ok is false if there are others.
func decode(s string) (v uint64, ok bool) {
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
func shortKey(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return (h ^ h>>36) & (1<<36 - 1)
}

// diff is the step from one two-digit total to a later one; totals wrap and may also fall a little.
func diff(from, to int) float64 { return float64((to-from+2048+4096)%4096 - 2048) }

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// word is what gateways and homes say to each other of one request: 'a' asks, 'r' answers, 'd' settles.
type word struct {
	kind    byte
	key, no uint64
	plan, n int
	v       [4]float64 // n figures, in steps of a wordSteps-th
	open    float64    // work that the sender has open ...
	done    float64    // ... and answers a second that it gets
	seen    int
	sights  [newsOf]sight
}

// sight is how one request fared at a server: x times its class's usual time.
type sight struct {
	server uint64
	class  int
	x      float64
	missed bool
}

const (
	wordHead  = 12
	doneSteps = 4 // of the answers a second that a word tells
	wordSteps = 16
	sightLen  = 4         // server of three digits; class and level of one
	shortMask = 1<<18 - 1 // of a server's name
	unseen    = 6         // level of a sight for no answer or an error; under it doublings of firstX
	firstX    = 0.35
	maxClass  = 7 // number of the last class that a sight can name
)

func (v sight) encode(b *strings.Builder) {
	level := min(unseen-1, max(0, math.Round(math.Log2(max(v.x, firstX)/firstX))))
	if v.missed {
		level = unseen
	}
	encode(b, v.server, 3)
	encode(b, uint64(v.class&7<<3|int(level)), 1)
}

func parseSight(s string) (v sight, ok bool) {
	d, ok := decode(s)
	level := int(d & 7)
	return sight{server: d >> 6, class: int(d >> 3 & 7), x: firstX * math.Exp2(float64(min(level, unseen-1))),
		missed: level >= unseen}, ok
}

func (w word) text() string {
	var b strings.Builder
	b.WriteByte(w.kind)
	encode(&b, w.key, 6)
	encode(&b, uint64(w.plan), 1)
	encode(&b, w.no&4095, 2)
	encode(&b, uint64(min(63, max(0, math.Round(w.open)))), 1)
	encode(&b, uint64(min(63, max(0, math.Round(doneSteps*w.done)))), 1)
	for _, x := range w.v[:w.n] {
		encode(&b, uint64(min(4095, max(0, 2048+math.Round(x*wordSteps)))), 2)
	}
	if w.seen > 0 {
		b.WriteByte('.')
	}
	for _, v := range w.sights[:w.seen] {
		v.encode(&b)
	}
	return b.String()
}

func parseWord(s string) (w word, ok bool) {
	s, news, _ := strings.Cut(s, ".")
	if len(news)%sightLen != 0 || len(news) > newsOf*sightLen {
		return w, false
	}
	if len(s) < wordHead || len(s)%2 != 0 || (len(s)-wordHead)/2 > len(w.v) {
		return w, false
	}
	head, ok := decode(s[1 : wordHead-2])
	w.kind, w.key, w.plan, w.no = s[0], head>>18, int(head>>12&63), head&4095
	load, ok2 := decode(s[wordHead-2 : wordHead])
	w.open, w.done, ok = float64(load>>6), float64(load&63)/doneSteps, ok && ok2
	for s = s[wordHead:]; s != "" && ok; s = s[2:] {
		var x uint64
		x, ok = decode(s[:2])
		w.v[w.n] = (float64(x) - 2048) / wordSteps
		w.n++
	}
	for ; news != "" && ok; news = news[sightLen:] {
		w.sights[w.seen], ok = parseSight(news[:sightLen])
		w.seen++
	}
	return w, ok
}

func (g *Gateway) tell(to int, kind byte, c *customer, no uint64, v ...float64) {
	w := word{kind: kind, key: c.key, plan: c.planNo, no: no, n: len(v)}
	copy(w.v[:], v)
	w.sights, w.seen = g.news.v, g.news.n
	w.open, w.done = g.all.open, g.done.get(g.now)
	g.do(SendGossip{to, w.text()})
}

// What peers tell all others: a head, and an entry for each customer of which something changed.
const (
	maxMessage = 256  // bytes of a message
	msgVersion = "c"  // messages that begin otherwise are not understood and dropped
	msgHead    = 5    // version; two digits each: epoch, number
	msgEntry   = 12   // customer of six digits, plan, used of two, asked of two, level
	levelSteps = 30.0 // digits of a told level for a whole burst
)

func encodeHead(b *strings.Builder, epoch, seq int) {
	b.WriteString(msgVersion)
	encode(b, uint64(epoch), 2)
	encode(b, uint64(seq), 2)
}

// parseHead checks a whole message and reads its head.
func parseHead(s string) (epoch, seq int, ok bool) {
	if len(s) < msgHead || s[:1] != msgVersion || (len(s)-msgHead)%msgEntry != 0 {
		return 0, 0, false
	}
	if _, ok = decode(s[1:]); !ok {
		return 0, 0, false
	}
	head, _ := decode(s[1:msgHead])
	return int(head >> 12), int(head & 4095), true
}

func (c *customer) encode(b *strings.Builder) {
	encode(b, c.key, 6)
	encode(b, uint64(c.planNo), 1)
	encode(b, uint64(int64(math.Round(c.usedSum)))&4095, 2)
	encode(b, uint64(int64(math.Round(c.askedSum)))&4095, 2)
	encode(b, uint64(min(63, math.Round(levelSteps*c.whole/max(c.plan.Burst, 1)))), 1)
}

// parseEntry reads an entry of a checked message; the level is a part of the burst.
func parseEntry(s string) (key uint64, plan, used, asked int, level float64) {
	key, _ = decode(s[:6])
	v, _ := decode(s[6:])
	return key, int(v >> 30), int(v >> 18 & 4095), int(v >> 6 & 4095), float64(v&63) / levelSteps
}
