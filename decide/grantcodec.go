package decide

import (
	"math"
	"strings"
)

// A grant message is text: a head, the figures of its kind, and then perhaps a dot and observations.
// Gateways of different versions of this program exchange them, so the format is fixed.
const (
	grantHeadLength   = 12   // kind 1, customer 6 digits, plan 1, number 2, load of the sender 2
	maxGrantNumber    = 4095 // numbers of grant requests are 1 to this
	responseRateSteps = 4    // steps of a response a second in the head
	figureSteps       = 16   // steps of a unit in a figure; a figure has 2 digits
	figureZero        = 2048 // the digits of 0, as figures may be negative
	figureMax         = 4095

	observationLength   = 4         // server 3 digits; class and level 1
	shortIDMask         = 1<<18 - 1 // of a server's hash
	maxObservedClass    = 7         // number of the last class that an observation can name
	failedLevel         = 6         // level of a failure; lower ones are doublings of minRelativeLatency
	minRelativeLatency  = 0.35
	maxObservationBytes = observationsPerMessage * observationLength
)

// grantKind is the kind of a grant message.
type grantKind byte

// The kinds, by the byte that messages begin with.
const (
	grantRequest grantKind = 'a' // asks an owner for units: 1 figure, the units
	grantReply   grantKind = 'r' // answers that: 4 figures, see grantAnswer
	grantRelease grantKind = 'd' // ends a grant: 1 figure, the units used beyond those granted
)

// grantMessage is what a gateway and an owner of a customer send to each other about one request.
type grantMessage struct {
	kind        grantKind
	key         uint64 // of the customer
	planNo      int
	number      uint64 // of the grant request, by the gateway that asked
	figures     [4]float64
	figureCount int

	// The load of the sender, of any kind of message: attempts in flight, successful responses a second.
	inFlight     float64
	responseRate float64

	observations     [observationsPerMessage]observation
	observationCount int
}

// observation is how one request fared at a server.
type observation struct {
	endpoint        uint64 // the server's short ID
	class           int
	relativeLatency float64 // times the usual latency of the class
	failed          bool    // there was no response, or an error
}

// grantAnswer is an owner's reply.
type grantAnswer struct {
	granted     bool
	fleetLevel  float64 // units in the customer's bucket
	fleetDemand float64 // units a second that all gateways demand
	rejectWait  float64 // if not granted: seconds for which the gateway is not to ask again
}

func (m *grantMessage) setFigures(figures ...float64) {
	m.figureCount = copy(m.figures[:], figures)
}

// requestedUnits returns the units of a grant request.
func (m *grantMessage) requestedUnits() (units float64, ok bool) {
	return m.figures[0], m.kind == grantRequest && m.figureCount == 1 && m.figures[0] >= 0
}

// releasedUnits returns the units that a grant release adds to the granted ones.
func (m *grantMessage) releasedUnits() (extra float64, ok bool) {
	return m.figures[0], m.kind == grantRelease && m.figureCount == 1
}

// answer returns what a grant reply says.
func (m *grantMessage) answer() (a grantAnswer, ok bool) {
	f := &m.figures
	a = grantAnswer{granted: f[0] > 0, fleetLevel: f[1], fleetDemand: f[2], rejectWait: f[3]}
	return a, m.kind == grantReply && m.figureCount == 4
}

// encode writes the message. Figures that are out of range are sent as the nearest that is in range.
func (m *grantMessage) encode() string {
	var b strings.Builder
	b.WriteByte(byte(m.kind))
	encodeDigits(&b, m.key, 6)
	encodeDigits(&b, uint64(m.planNo), 1)
	encodeDigits(&b, m.number&maxGrantNumber, 2)
	encodeDigits(&b, uint64(min(maxDigit, max(0, math.Round(m.inFlight)))), 1)
	encodeDigits(&b, uint64(min(maxDigit, max(0, math.Round(responseRateSteps*m.responseRate)))), 1)
	for _, x := range m.figures[:m.figureCount] {
		encodeDigits(&b, uint64(min(figureMax, max(0, figureZero+math.Round(x*figureSteps)))), 2)
	}
	if m.observationCount > 0 {
		b.WriteByte('.')
	}
	for _, o := range m.observations[:m.observationCount] {
		o.encode(&b)
	}
	return b.String()
}

// parseGrantMessage reads a message; ok is false if it is malformed. An unknown kind is not: its load and
// observations count all the same.
func parseGrantMessage(s string) (m grantMessage, ok bool) {
	s, observations, _ := strings.Cut(s, ".")
	if len(observations)%observationLength != 0 || len(observations) > maxObservationBytes {
		return m, false
	}
	if len(s) < grantHeadLength || len(s)%2 != 0 || (len(s)-grantHeadLength)/2 > len(m.figures) {
		return m, false
	}
	head, headOK := decodeDigits(s[1 : grantHeadLength-2])
	load, loadOK := decodeDigits(s[grantHeadLength-2 : grantHeadLength])
	ok = headOK && loadOK
	m.kind, m.key, m.planNo, m.number = grantKind(s[0]), head>>18, int(head>>12&63), head&maxGrantNumber
	m.inFlight, m.responseRate = float64(load>>6), float64(load&63)/responseRateSteps
	for s = s[grantHeadLength:]; s != "" && ok; s = s[2:] {
		var x uint64
		x, ok = decodeDigits(s[:2])
		m.figures[m.figureCount] = (float64(x) - figureZero) / figureSteps
		m.figureCount++
	}
	for s = observations; s != "" && ok; s = s[observationLength:] {
		m.observations[m.observationCount], ok = parseObservation(s[:observationLength])
		m.observationCount++
	}
	return m, ok
}

func (o observation) encode(b *strings.Builder) {
	doublings := math.Round(math.Log2(max(o.relativeLatency, minRelativeLatency) / minRelativeLatency))
	level := min(failedLevel-1, max(0, doublings))
	if o.failed {
		level = failedLevel
	}
	encodeDigits(b, o.endpoint, 3)
	encodeDigits(b, uint64(o.class&7<<3|int(level)), 1)
}

func parseObservation(s string) (o observation, ok bool) {
	v, ok := decodeDigits(s)
	level := int(v & 7)
	return observation{
		endpoint:        v >> 6,
		class:           int(v >> 3 & 7),
		relativeLatency: minRelativeLatency * math.Exp2(float64(min(level, failedLevel-1))),
		failed:          level >= failedLevel,
	}, ok
}
