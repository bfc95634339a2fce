package quotaplan

import (
	"encoding/binary"

	"winghatch/internal/encoding"
)

// Messages on the acceptance of reservations, in the form of those of the comparison. Earlier versions ignore
// them.
//
//	'P'  proposal: token and incarnation of the gateway that proposes, and the change
//	'D'  decision: token and incarnation of the proposal, the change, and if it was rejected the field and the
//	     text of the error
//	'Q'  query for the digest of the set
//	'S'  digest of the set: number and hash of the changes
const (
	messageProposal = 'P'
	messageDecision = 'D'
	messageQuery    = 'Q'
	messageDigest   = 'S'
)

const maxErrorBytes = 700 // length of a field or text of an error in a message

// proposalMessage proposes a reservation to the acceptor.
type proposalMessage struct {
	token, incarnation uint64
	change             Change
}

// decisionMessage answers a proposal.
type decisionMessage struct {
	token, incarnation uint64
	change             Change
	err                *Error // nil: accepted
}

// digestMessage states the digest of a set.
type digestMessage struct {
	changes, hash uint64
}

func (m proposalMessage) encode() []byte {
	b := binary.LittleEndian.AppendUint64([]byte{messageProposal}, m.token)
	b = binary.LittleEndian.AppendUint64(b, m.incarnation)
	return m.change.Append(b)
}

func (m decisionMessage) encode() []byte {
	b := binary.LittleEndian.AppendUint64([]byte{messageDecision}, m.token)
	b = binary.LittleEndian.AppendUint64(b, m.incarnation)
	b = m.change.Append(b)
	if m.err != nil {
		b = encoding.AppendString(b, m.err.Field)
		b = encoding.AppendString(b, m.err.Text[:min(len(m.err.Text), maxErrorBytes)])
	}
	return b
}

func (m digestMessage) encode() []byte {
	b := binary.LittleEndian.AppendUint64([]byte{messageDigest}, m.changes)
	return binary.LittleEndian.AppendUint64(b, m.hash)
}

// decodeProposal decodes a proposal without its kind, and returns the bytes after it. ok is false if the
// message is malformed.
func decodeProposal(body []byte) (m proposalMessage, rest []byte, ok bool) {
	r := &encoding.Reader{Rest: body}
	m.token, m.incarnation = r.Uint64(), r.Uint64()
	if r.Malformed {
		return m, nil, false
	}
	change, rest, err := ParseChange(r.Rest)
	m.change = change
	return m, rest, err == nil
}

// decodeDecision decodes a decision without its kind. It returns false if the message is malformed.
func decodeDecision(body []byte) (m decisionMessage, ok bool) {
	p, rest, ok := decodeProposal(body)
	if !ok {
		return m, false
	}
	m = decisionMessage{token: p.token, incarnation: p.incarnation, change: p.change}
	r := &encoding.Reader{Rest: rest}
	if len(rest) > 0 {
		m.err = &Error{Number: m.change.Number, Field: r.String(maxErrorBytes), Text: r.String(maxErrorBytes)}
	}
	return m, !r.Malformed
}

// decodeDigest decodes a digest without its kind. It returns false if the message is malformed.
func decodeDigest(body []byte) (m digestMessage, ok bool) {
	r := &encoding.Reader{Rest: body}
	m = digestMessage{r.Uint64(), r.Uint64()}
	return m, !r.Malformed
}
