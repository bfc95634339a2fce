package reservation

import (
	"encoding/binary"

	"winghatch/internal/encoding"
)

// Messages between gateways. Integers have 8 bytes, little-endian; numbers with a fraction are IEEE 754
// doubles, also little-endian. Each message begins with a byte that names its kind, and the ID of the
// reservation. Then follow:
//
//	'O'  offer: tokens that may be requested
//	'A'  request: number of the request, epoch of the sender, tokens and room wanted
//	'G'  transfer: number of the request or 0, epoch of the sender, epoch of the receiver, total of the
//	     tokens ever sent to that holder, room, tokens that the sender keeps, 1 + rank of the gateway
//	     believed to hold most tokens or 0, tokens of that gateway
//	'T'  acknowledgement: epoch of the sender of the tokens, epoch of their receiver, total of the
//	     tokens received
const (
	messageOffer           = 'O'
	messageRequest         = 'A'
	messageTransfer        = 'G'
	messageAcknowledgement = 'T'

	messageHeaderBytes = 9 // kind and reservation ID
)

// offerMessage offers tokens to a gateway, which may then request them.
type offerMessage struct {
	reservation uint64
	tokens      float64
}

// requestMessage requests tokens, or room under the ceiling.
type requestMessage struct {
	reservation uint64
	number      uint64
	epoch       uint64 // epoch of the sender
	tokens      float64
	room        float64
}

// transferMessage answers a request, or retransmits a total that was not acknowledged.
type transferMessage struct {
	reservation         uint64
	request             uint64 // number of the request; 0: a retransmission
	epoch               uint64 // epoch of the sender
	receiverEpoch       uint64
	total               float64 // total of the tokens ever sent to the receiver in its epoch
	room                float64
	left                float64 // tokens that the sender keeps
	largestHolder       uint64  // 1 + rank of the gateway believed to hold most tokens; 0: unknown
	largestHolderTokens float64 // tokens of that gateway
}

// acknowledgementMessage acknowledges the tokens received from a holder.
type acknowledgementMessage struct {
	reservation uint64
	senderEpoch uint64  // epoch of the gateway that sent the tokens
	epoch       uint64  // epoch of the gateway that received them
	total       float64 // total of the tokens received
}

// appendIntegers starts a message of a kind with integer fields.
func appendIntegers(kind byte, values ...uint64) []byte {
	b := []byte{kind}
	for _, v := range values {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	return b
}

func appendFloats(b []byte, values ...float64) []byte {
	for _, v := range values {
		b = encoding.AppendFloat64(b, v)
	}
	return b
}

func (m offerMessage) encode() []byte {
	return appendFloats(appendIntegers(messageOffer, m.reservation), m.tokens)
}

func (m requestMessage) encode() []byte {
	return appendFloats(appendIntegers(messageRequest, m.reservation, m.number, m.epoch), m.tokens, m.room)
}

func (m transferMessage) encode() []byte {
	b := appendIntegers(messageTransfer, m.reservation, m.request, m.epoch, m.receiverEpoch)
	b = appendFloats(b, m.total, m.room, m.left)
	b = binary.LittleEndian.AppendUint64(b, m.largestHolder)
	return appendFloats(b, m.largestHolderTokens)
}

func (m acknowledgementMessage) encode() []byte {
	return appendFloats(
		appendIntegers(messageAcknowledgement, m.reservation, m.senderEpoch, m.epoch), m.total)
}

// decodeMessage decodes a message of any kind. It returns nil if the message is malformed and ignores
// trailing bytes.
func decodeMessage(data []byte) any {
	if len(data) == 0 {
		return nil
	}
	r := &encoding.Reader{Rest: data[1:]}
	id := r.Uint64()
	var m any
	switch data[0] {
	case messageOffer:
		m = offerMessage{id, r.Float64()}
	case messageRequest:
		m = requestMessage{id, r.Uint64(), r.Uint64(), r.Float64(), r.Float64()}
	case messageTransfer:
		m = transferMessage{id, r.Uint64(), r.Uint64(), r.Uint64(),
			r.Float64(), r.Float64(), r.Float64(), r.Uint64(), r.Float64()}
	case messageAcknowledgement:
		m = acknowledgementMessage{id, r.Uint64(), r.Uint64(), r.Float64()}
	}
	if r.Malformed {
		return nil
	}
	return m
}
