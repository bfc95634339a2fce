package decide

import (
	"math"
	"strings"
)

// A grant message is text: a header, the values of its kind and, optionally, a dot followed by observations.
// Numbers are encoded in digits of 6 bits each, see encodeDigits; lengths in the following comments are in
// digits. The format is fixed, because gateways that run different versions of this program exchange grant
// messages.
const (
	grantHeaderLength = 12   // in digits: 1 for the kind, 6 customer, 1 plan, 2 number, 2 load
	maxGrantNumber    = 4095 // grant requests are numbered from 1 to this
	responseRateSteps = 4    // steps per response per second in the header
	valueSteps        = 16   // a value is encoded in 2 digits as a multiple of 1/valueSteps
	encodedZero       = 2048 // encoded form of 0, because values may be negative
	maxEncodedValue   = 4095 // largest encoded value

	observationLength = 4         // in digits: 3 for the server, 1 for class and level together
	shortIDMask       = 1<<18 - 1 // bits of the hash of a server's ID that are sent
	maxObservedClass  = 7         // largest class index that an observation can encode
	// failedLevel is the level that encodes a failure. The levels below it are doublings of
	// minRelativeLatency.
	failedLevel         = 6
	minRelativeLatency  = 0.35 // lowest relative latency that an observation can encode
	maxObservationBytes = observationsPerMessage * observationLength
)

// grantKind is the kind of a grant message.
type grantKind byte

// Kinds of grant messages. The value is the first byte of the message.
const (
	grantRequest grantKind = 'a' // asks an owner for units; 1 value: the units
	grantReply   grantKind = 'r' // answers a request; 4 values, see grantAnswer
	grantRelease grantKind = 'd' // ends a grant; 1 value: the units used beyond those granted
)

// grantMessage is a message about one request, exchanged by a gateway and an owner of the customer.
type grantMessage struct {
	kind       grantKind
	key        uint64     // key of the customer
	planIndex  int        // index of the customer's plan in Config.Plans
	number     uint64     // number of the grant request, assigned by the gateway that sent it
	values     [4]float64 // see grantKind; the first valueCount ones are sent
	valueCount int

	// The load of the sender, sent with each kind of message: attempts in flight, including orphans, and
	// successful responses per second.
	inFlight     float64
	responseRate float64

	observations     [observationsPerMessage]observation
	observationCount int
}

// observation is the result of one request at a server.
type observation struct {
	endpoint        uint64  // short ID of the server
	class           int     // index of the class in Config.Classes
	relativeLatency float64 // multiple of the class's baseline latency
	failed          bool    // whether there was no response or an error
}

// grantAnswer is the decision in an owner's reply.
type grantAnswer struct {
	granted     bool
	fleetLevel  float64 // units in the customer's bucket
	fleetDemand float64 // units per second that all gateways demand
	// rejectWait is the time in seconds for which the gateway must not ask again, if the units were not
	// granted.
	rejectWait float64
}

// setValues sets the values of the message.
func (m *grantMessage) setValues(values ...float64) {
	m.valueCount = copy(m.values[:], values)
}

// requestedUnits returns the units of a grant request. ok is false for any other message.
func (m *grantMessage) requestedUnits() (units float64, ok bool) {
	return m.values[0], m.kind == grantRequest && m.valueCount == 1 && m.values[0] >= 0
}

// releasedUnits returns the units of a grant release that were used beyond those granted. ok is false for
// any other message.
func (m *grantMessage) releasedUnits() (extra float64, ok bool) {
	return m.values[0], m.kind == grantRelease && m.valueCount == 1
}

// answer returns the decision of a grant reply. ok is false for any other message.
func (m *grantMessage) answer() (a grantAnswer, ok bool) {
	v := &m.values
	a = grantAnswer{granted: v[0] > 0, fleetLevel: v[1], fleetDemand: v[2], rejectWait: v[3]}
	return a, m.kind == grantReply && m.valueCount == 4
}

// encode returns the encoded message. Values that are out of range are clamped.
func (m *grantMessage) encode() string {
	var b strings.Builder
	b.WriteByte(byte(m.kind))
	encodeDigits(&b, m.key, 6)
	encodeDigits(&b, uint64(m.planIndex), 1)
	encodeDigits(&b, m.number&maxGrantNumber, 2)
	encodeDigits(&b, uint64(min(maxDigit, max(0, math.Round(m.inFlight)))), 1)
	encodeDigits(&b, uint64(min(maxDigit, max(0, math.Round(responseRateSteps*m.responseRate)))), 1)
	for _, x := range m.values[:m.valueCount] {
		encodeDigits(&b, uint64(min(maxEncodedValue, max(0, encodedZero+math.Round(x*valueSteps)))), 2)
	}
	if m.observationCount > 0 {
		b.WriteByte('.')
	}
	for _, o := range m.observations[:m.observationCount] {
		o.encode(&b)
	}
	return b.String()
}

// parseGrantMessage parses a message. ok is false if it is malformed. A message of an unknown kind is not
// malformed, since its load and observations can still be used.
func parseGrantMessage(s string) (m grantMessage, ok bool) {
	s, observations, _ := strings.Cut(s, ".")
	if len(observations)%observationLength != 0 || len(observations) > maxObservationBytes {
		return m, false
	}
	if len(s) < grantHeaderLength || len(s)%2 != 0 || (len(s)-grantHeaderLength)/2 > len(m.values) {
		return m, false
	}
	header, headerOK := decodeDigits(s[1 : grantHeaderLength-2])
	load, loadOK := decodeDigits(s[grantHeaderLength-2 : grantHeaderLength])
	ok = headerOK && loadOK
	m.kind, m.key, m.planIndex, m.number =
		grantKind(s[0]), header>>18, int(header>>12&63), header&maxGrantNumber
	m.inFlight, m.responseRate = float64(load>>6), float64(load&63)/responseRateSteps
	for s = s[grantHeaderLength:]; s != "" && ok; s = s[2:] {
		var x uint64
		x, ok = decodeDigits(s[:2])
		m.values[m.valueCount] = (float64(x) - encodedZero) / valueSteps
		m.valueCount++
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
