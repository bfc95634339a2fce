package quotaplan

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// Parameters of forwarding and anti-entropy.
const (
	// compareInterval is the mean time between comparisons with a random peer. Each delay is the interval
	// times a random factor between compareJitterLow and compareJitterLow+compareJitterSpan.
	compareInterval   = 500 * time.Millisecond
	compareJitterLow  = 0.75
	compareJitterSpan = 0.5
	startFanout       = 3 // peers to compare with at the start
	forwardFanout     = 4 // peers to which a new change is forwarded at once
	// maxListedHashes is the number of hashes in a differing range, on both sides together, up to which the
	// hashes are listed. A range with more is split into rangeFanout parts.
	maxListedHashes = 48
	rangeFanout     = 8
)

// A message begins with a byte that names its kind. All integers are little-endian.
//
//	'R'  ranges of hashes: for each range low, high (inclusive) and the xor of its hashes (8 bytes each),
//	     and the number of its hashes (4 bytes)
//	'L'  list: low, high (inclusive) and the hashes that the sender has between them (8 bytes each)
//	'W'  wanted: hashes of the changes that the sender wants (8 bytes each)
//	'C'  changes, as written by Change.Append
//
// A comparison begins when a gateway sends a peer the range of all hashes. If a range differs, the peer
// answers with the parts of the range or, if it has few hashes, with the list of them. The receiver of a list
// sends the changes that the peer lacks and asks for those that it lacks itself. In this way, replicas
// converge no matter which messages were lost. The number of messages grows with the logarithm of the size of
// the set and with the size of the difference.
const (
	messageRanges  = 'R'
	messageHashes  = 'L'
	messageWanted  = 'W'
	messageChanges = 'C'

	hashBytes       = 8
	rangeBytes      = 28
	listHeaderBytes = 16   // low and high
	maxMessageBytes = 1000 // below the payload limit of package gossip; a larger change is sent alone
)

// noPeer stands for the rank of a peer where there is none.
const noPeer = -1

// compareDelay returns a random time until the next comparison, so that the gateways do not compare at the
// same time.
func (r *Replica) compareDelay() time.Duration {
	return time.Duration((compareJitterLow + compareJitterSpan*r.random.Float64()) * float64(compareInterval))
}

// randomPeer returns the rank of a random peer. The fleet must have at least two gateways.
func (r *Replica) randomPeer() int {
	peer := r.random.Intn(r.settings.Gateways - 1)
	if peer >= r.settings.Rank {
		peer++
	}
	return peer
}

// startComparison sends the range of all hashes to a peer.
func (r *Replica) startComparison(peer int) {
	r.emit(Send{peer, r.set.appendRange([]byte{messageRanges}, 0, math.MaxUint64)})
}

// appendRange appends a range, from low to high inclusive, in the form of a ranges message.
func (s *changeSet) appendRange(msg []byte, low, high uint64) []byte {
	hashes := s.hashesBetween(low, high)
	msg = appendBounds(msg, low, high)
	msg = binary.LittleEndian.AppendUint64(msg, xorOf(hashes))
	return binary.LittleEndian.AppendUint32(msg, uint32(len(hashes)))
}

// appendBounds appends the bounds of a range.
func appendBounds(msg []byte, low, high uint64) []byte {
	msg = binary.LittleEndian.AppendUint64(msg, low)
	return binary.LittleEndian.AppendUint64(msg, high)
}

// forward sends changes to a few random peers, except the peer from that sent them. Each peer forwards the
// changes that are new to it.
func (r *Replica) forward(changes []*Change, from int) {
	if r.settings.Gateways < 2 {
		return
	}
	sent := 0
	for _, peer := range r.random.Perm(r.settings.Gateways) {
		if peer == r.settings.Rank || peer == from {
			continue
		}
		if sent++; sent > forwardFanout {
			break
		}
		r.sendChanges(peer, changes)
	}
}

// sendChanges sends changes to a peer, in as many messages as needed.
func (r *Replica) sendChanges(peer int, changes []*Change) {
	msg := []byte{messageChanges}
	for _, c := range changes {
		raw := c.Append(nil)
		if len(msg) > 1 && len(msg)+len(raw) > maxMessageBytes {
			r.emit(Send{peer, msg})
			msg = []byte{messageChanges}
		}
		msg = append(msg, raw...)
	}
	if len(msg) > 1 {
		r.emit(Send{peer, msg})
	}
}

// sendHashes sends hashes to a peer, in as many messages as needed. Each message begins with the header.
func (r *Replica) sendHashes(peer int, header []byte, hashes []uint64) {
	msg := header
	for _, h := range hashes {
		if len(msg)+hashBytes > maxMessageBytes {
			r.emit(Send{peer, slices.Clone(msg)})
			msg = msg[:len(header)]
		}
		msg = binary.LittleEndian.AppendUint64(msg, h)
	}
	if len(msg) > len(header) {
		r.emit(Send{peer, msg})
	}
}

// receive handles a message from another gateway. It drops malformed messages. Messages are authenticated, so
// a malformed one is caused by a faulty gateway, and the next comparison repeats what was lost.
func (r *Replica) receive(e MessageReceived) {
	if e.From < 0 || e.From >= r.settings.Gateways || e.From == r.settings.Rank || len(e.Data) == 0 {
		return
	}
	body := e.Data[1:]
	switch e.Data[0] {
	case messageRanges:
		if len(body)%rangeBytes == 0 {
			r.compareRanges(e.From, body)
		}
	case messageHashes:
		if len(body) >= listHeaderBytes && len(body)%hashBytes == 0 {
			r.compareHashes(e.From, body)
		}
	case messageWanted:
		r.sendWanted(e.From, body)
	case messageChanges:
		r.receiveChanges(e.From, body)
	case messageProposal:
		if m, _, ok := decodeProposal(body); ok {
			r.receiveProposal(e.From, m)
		}
	case messageDecision:
		if m, ok := decodeDecision(body); ok {
			r.receiveDecision(e.From, m)
		}
	case messageQuery:
		changes, hash := r.Digest()
		r.emit(Send{e.From, digestMessage{uint64(changes), hash}.encode()})
	case messageDigest:
		if m, ok := decodeDigest(body); ok {
			r.receiveDigest(e.From, m)
		}
	}
}

// sendWanted sends a peer the changes that it asked for by hash.
func (r *Replica) sendWanted(from int, body []byte) {
	var changes []*Change
	for ; len(body) >= hashBytes; body = body[hashBytes:] {
		if c := r.set.byHash[binary.LittleEndian.Uint64(body)]; c != nil {
			changes = append(changes, c)
		}
	}
	r.sendChanges(from, changes)
}

// receiveChanges adds the changes of a message, up to the first malformed one, and forwards the new ones.
func (r *Replica) receiveChanges(from int, body []byte) {
	var added []*Change
	for len(body) > 0 {
		c, rest, err := ParseChange(body)
		if err != nil {
			break
		}
		body = rest
		if r.add(c) {
			r.emit(Persist{c, false})
			added = append(added, &c)
		}
	}
	if len(added) > 0 {
		r.forward(added, from)
	}
}

// compareRanges compares ranges of a peer with this replica and answers each range that differs.
func (r *Replica) compareRanges(from int, body []byte) {
	parts := []byte{messageRanges}
	for ; len(body) > 0; body = body[rangeBytes:] {
		low, high := binary.LittleEndian.Uint64(body), binary.LittleEndian.Uint64(body[8:])
		xor, count := binary.LittleEndian.Uint64(body[16:]), int(binary.LittleEndian.Uint32(body[24:]))
		hashes := r.set.hashesBetween(low, high)
		switch {
		case low > high || xorOf(hashes) == xor && len(hashes) == count:
			// The range is invalid or does not differ.
		case len(hashes)+count <= maxListedHashes || high-low < rangeFanout:
			// A range of so few values is not split further, even if the peer's count is wrong.
			header := appendBounds([]byte{messageHashes}, low, high)
			if len(hashes) == 0 {
				r.emit(Send{from, header}) // an empty list asks for all changes in the range
			}
			r.sendHashes(from, header, hashes)
		default:
			parts = r.splitRange(from, parts, low, high)
		}
	}
	if len(parts) > 1 {
		r.emit(Send{from, parts})
	}
}

// splitRange appends the parts of a range to a message and returns it. When the message is full, it sends it
// and starts a new one.
func (r *Replica) splitRange(peer int, msg []byte, low, high uint64) []byte {
	step := (high-low)/rangeFanout + 1
	for at := low; ; at += step {
		end := high
		if high-at >= step {
			end = at + step - 1
		}
		if len(msg)+rangeBytes > maxMessageBytes {
			r.emit(Send{peer, msg})
			msg = []byte{messageRanges}
		}
		msg = r.set.appendRange(msg, at, end)
		if end == high {
			return msg
		}
	}
}

// compareHashes sends a peer the changes that its list of a range lacks, and requests the listed changes that
// are new here.
func (r *Replica) compareHashes(from int, body []byte) {
	low, high := binary.LittleEndian.Uint64(body), binary.LittleEndian.Uint64(body[8:])
	peerHashes := map[uint64]bool{}
	var wanted []uint64
	for body = body[listHeaderBytes:]; len(body) > 0; body = body[hashBytes:] {
		h := binary.LittleEndian.Uint64(body)
		peerHashes[h] = true
		if r.set.byHash[h] == nil {
			wanted = append(wanted, h)
		}
	}
	var missing []*Change
	for _, h := range r.set.hashesBetween(low, high) {
		if !peerHashes[h] {
			missing = append(missing, r.set.byHash[h])
		}
	}
	r.sendChanges(from, missing)
	r.sendHashes(from, []byte{messageWanted}, wanted)
}
