package reservation

import (
	"encoding/binary"

	"winghatch/internal/encoding"
)

// Messages between gateways, integers of 8 bytes little-endian, figures 8 bytes of IEEE 754. All begin with a byte that
// says what follows, and the reservation's ID:
//
//	'O'  offer: tokens that may be requested
//	'A'  request: its number, epoch of the sender, tokens and room wanted
//	'G'  transfer: number of the request or 0, epoch of the sender, epoch of the receiver, all tokens ever sent to that
//	     holder, room, tokens left, 1 + rank of the gateway that seems to have most or 0, and how many that has
//	'T'  acknowledgement: epoch of the sender of the tokens, own epoch, all tokens received
const (
	messageOffer           = 'O'
	messageRequest         = 'A'
	messageTransfer        = 'G'
	messageAcknowledgement = 'T'

	messageHeaderBytes = 9 // the first byte and the reservation's ID
)

// offerMessage tells a gateway that it may request tokens.
type offerMessage struct {
	reservation uint64
	tokens      float64
}

// requestMessage asks for tokens, or for room under the ceiling.
type requestMessage struct {
	reservation uint64
	number      uint64
	epoch       uint64 // of the sender
	tokens      float64
	room        float64
}

// transferMessage answers a request, or repeats a total that was not acknowledged.
type transferMessage struct {
	reservation   uint64
	request       uint64 // number; 0: a repetition
	epoch         uint64 // of the sender
	receiverEpoch uint64
	total         float64 // of tokens ever sent to the receiver's epoch
	room          float64
	left          float64 // tokens that the sender keeps
	richest       uint64  // 1 + rank of the gateway that seems to have most tokens; 0: unknown
	richestTokens float64
}

// acknowledgementMessage confirms the tokens received from a holder.
type acknowledgementMessage struct {
	reservation uint64
	senderEpoch uint64 // of the gateway that sent the tokens
	epoch       uint64 // of the gateway that received them
	total       float64
}

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
	b = binary.LittleEndian.AppendUint64(b, m.richest)
	return appendFloats(b, m.richestTokens)
}

func (m acknowledgementMessage) encode() []byte {
	return appendFloats(appendIntegers(messageAcknowledgement, m.reservation, m.senderEpoch, m.epoch), m.total)
}

// decodeMessage reads a message of any kind; nil: it is malformed. Bytes behind it are ignored.
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
