package quotaplan

import (
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// How replicas converge.
const (
	compareInterval   = 500 * time.Millisecond // mean time between comparisons with a random peer
	compareJitterLow  = 0.75                   // of the interval: the shortest
	compareJitterSpan = 0.5                    // of the interval: from the shortest to the longest
	startFanout       = 3                      // comparisons at the start
	forwardFanout     = 4                      // peers that a new change is forwarded to at once
	maxListedHashes   = 48                     // of a differing range on both sides; more are split into ranges
	rangeFanout       = 8                      // parts that a range is split into
)

// Messages begin with a byte that says what follows; all integers are little-endian.
//
//	'R'  ranges of hashes: each low, high (inclusive) and xor of the hashes in 8 bytes, their count in 4
//	'L'  low, high, and the hashes that the sender has between them, in 8 bytes each
//	'W'  hashes of changes that the sender wants, in 8 bytes each
//	'C'  changes, as Change.Append writes them
//
// A gateway sends the range of all hashes to a peer at each comparison. A peer that finds a range to differ answers
// with its parts or, where it is small, with the list of its hashes; the receiver of a list sends the changes that the
// other lacks and asks for those that it lacks itself. So replicas converge whatever was lost, in messages whose number
// grows with the logarithm of the set and with the difference.
const (
	messageRanges  = 'R'
	messageHashes  = 'L'
	messageWanted  = 'W'
	messageChanges = 'C'

	hashBytes       = 8
	rangeBytes      = 28
	listHeaderBytes = 16   // low and high
	maxMessageBytes = 1000 // unless a single change is larger
)

// noPeer is no rank.
const noPeer = -1

// compareDelay draws the time to the next comparison, so that the gateways do not compare in step.
func (r *Replica) compareDelay() time.Duration {
	return time.Duration((compareJitterLow + compareJitterSpan*r.random.Float64()) * float64(compareInterval))
}

func (r *Replica) randomPeer() int {
	peer := r.random.Intn(r.settings.Gateways - 1)
	if peer >= r.settings.Rank {
		peer++
	}
	return peer
}

// startComparison sends a peer the range of all hashes.
func (r *Replica) startComparison(peer int) {
	r.emit(Send{peer, r.set.appendRange([]byte{messageRanges}, 0, math.MaxUint64)})
}

func (s *changeSet) appendRange(msg []byte, low, high uint64) []byte {
	hashes := s.hashesBetween(low, high)
	msg = appendBounds(msg, low, high)
	msg = binary.LittleEndian.AppendUint64(msg, xorOf(hashes))
	return binary.LittleEndian.AppendUint32(msg, uint32(len(hashes)))
}

func appendBounds(msg []byte, low, high uint64) []byte {
	msg = binary.LittleEndian.AppendUint64(msg, low)
	return binary.LittleEndian.AppendUint64(msg, high)
}

// forward sends changes to a few random peers but the one that they came from; each forwards what is new to it.
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

// sendHashes sends hashes behind a header, which is repeated in each message.
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

// receive handles a message. A malformed one is dropped: it is authenticated, so it comes of a fault of a gateway, and
// the next comparison repeats what matters.
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
	}
}

func (r *Replica) sendWanted(from int, body []byte) {
	var changes []*Change
	for ; len(body) >= hashBytes; body = body[hashBytes:] {
		if c := r.set.byHash[binary.LittleEndian.Uint64(body)]; c != nil {
			changes = append(changes, c)
		}
	}
	r.sendChanges(from, changes)
}

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

// compareRanges answers each range that differs from this replica's.
func (r *Replica) compareRanges(from int, body []byte) {
	parts := []byte{messageRanges}
	for ; len(body) > 0; body = body[rangeBytes:] {
		low, high := binary.LittleEndian.Uint64(body), binary.LittleEndian.Uint64(body[8:])
		xor, count := binary.LittleEndian.Uint64(body[16:]), int(binary.LittleEndian.Uint32(body[24:]))
		hashes := r.set.hashesBetween(low, high)
		switch {
		case low > high || xorOf(hashes) == xor && len(hashes) == count:
		case len(hashes)+count <= maxListedHashes || high-low < rangeFanout:
			header := appendBounds([]byte{messageHashes}, low, high)
			if len(hashes) == 0 {
				r.emit(Send{from, header}) // an empty list asks for all changes of the range
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

// splitRange appends the parts of a range to a message, which it sends and begins anew where it is full.
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

// compareHashes sends the changes that a peer's list of a range lacks, and asks for those that are new here.
func (r *Replica) compareHashes(from int, body []byte) {
	low, high := binary.LittleEndian.Uint64(body), binary.LittleEndian.Uint64(body[8:])
	theirs := map[uint64]bool{}
	var wanted []uint64
	for body = body[listHeaderBytes:]; len(body) > 0; body = body[hashBytes:] {
		h := binary.LittleEndian.Uint64(body)
		theirs[h] = true
		if r.set.byHash[h] == nil {
			wanted = append(wanted, h)
		}
	}
	var lacking []*Change
	for _, h := range r.set.hashesBetween(low, high) {
		if !theirs[h] {
			lacking = append(lacking, r.set.byHash[h])
		}
	}
	r.sendChanges(from, lacking)
	r.sendHashes(from, []byte{messageWanted}, wanted)
}
