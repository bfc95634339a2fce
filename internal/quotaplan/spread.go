package quotaplan

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
)

// Messages between books begin with a byte that says what follows; all integers are little-endian.
//
//	'R'  ranges of hashes: each low, high (inclusive) and xor in 8 bytes, count in 4
//	'L'  low, high, and the hashes that the sender has between them
//	'W'  hashes of changes that the sender wants
//	'C'  changes, as Append writes them
//
// A gateway sends the range of all hashes to another one at each beat. Who finds a range to differ answers with its
// parts, or, where it is small, with the list; who gets a list sends what the other lacks and asks for what it lacks
// itself. So books come together however many changes were lost on the way, in messages whose number grows with the
// logarithm of the book and with the difference, not with the book.
const (
	messageRanges  = 'R'
	messageHashes  = 'L'
	messageWanted  = 'W'
	messageChanges = 'C'

	rangeBytes = 28
)

func sprint(format string, args ...any) string { return fmt.Sprintf(format, args...) }

// between are the hashes from low to high.
func (r *Replica) hashesBetween(low, high uint64) []uint64 {
	i, _ := slices.BinarySearch(r.sortedHashes, low)
	j, found := slices.BinarySearch(r.sortedHashes, high)
	if found {
		j++
	}
	return r.sortedHashes[i:max(i, j)]
}

func (r *Replica) appendRange(msg []byte, low, high uint64) []byte {
	xor := uint64(0)
	hs := r.hashesBetween(low, high)
	for _, h := range hs {
		xor ^= h
	}
	msg = binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(msg, low), high)
	msg = binary.LittleEndian.AppendUint64(msg, xor)
	return binary.LittleEndian.AppendUint32(msg, uint32(len(hs)))
}

// compare begins a comparison with another gateway.
func (r *Replica) startComparison(to int) {
	r.emit(Send{to, r.appendRange([]byte{messageRanges}, 0, math.MaxUint64)})
}

// push tells changes to a few gateways, each of which passes on what is new to it.
func (r *Replica) forward(cs []*Change, but int) {
	n := r.settings.Gateways
	if n < 2 {
		return
	}
	told := 0
	for _, to := range r.random.Perm(n) {
		if to == r.settings.Rank || to == but {
			continue
		}
		if told++; told > forwardFanout {
			break
		}
		r.sendChanges(to, cs)
	}
}

func (r *Replica) sendChanges(to int, cs []*Change) {
	msg := []byte{messageChanges}
	for _, c := range cs {
		raw := c.Append(nil)
		if len(msg) > 1 && len(msg)+len(raw) > maxMessageBytes {
			r.emit(Send{to, msg})
			msg = []byte{messageChanges}
		}
		msg = append(msg, raw...)
	}
	if len(msg) > 1 {
		r.emit(Send{to, msg})
	}
}

func (r *Replica) sendHashes(to int, msg []byte, hs []uint64) {
	head := len(msg)
	for _, h := range hs {
		if len(msg)+8 > maxMessageBytes {
			r.emit(Send{to, slices.Clone(msg)})
			msg = msg[:head]
		}
		msg = binary.LittleEndian.AppendUint64(msg, h)
	}
	if len(msg) > head {
		r.emit(Send{to, msg})
	}
}

// heard takes a message. What is malformed is dropped: it passed the peers' keyed hash, so it is a fault of a
// gateway, not an attack, and the next beat repeats what matters.
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
		if len(body) >= 16 && len(body)%8 == 0 {
			r.compareHashes(e.From, body)
		}
	case messageWanted:
		var cs []*Change
		for ; len(body) >= 8; body = body[8:] {
			if c := r.byHash[binary.LittleEndian.Uint64(body)]; c != nil {
				cs = append(cs, c)
			}
		}
		r.sendChanges(e.From, cs)
	case messageChanges:
		var news []*Change
		for len(body) > 0 {
			c, rest, err := ParseChange(body)
			if err != nil {
				break
			}
			body = rest
			if r.add(c) {
				r.emit(Persist{c, false})
				news = append(news, &c)
			}
		}
		if len(news) > 0 {
			r.forward(news, e.From)
		}
	}
}

func (r *Replica) compareRanges(from int, body []byte) {
	parts := []byte{messageRanges}
	for ; len(body) > 0; body = body[rangeBytes:] {
		low, high := binary.LittleEndian.Uint64(body), binary.LittleEndian.Uint64(body[8:])
		xor, count := binary.LittleEndian.Uint64(body[16:]), int(binary.LittleEndian.Uint32(body[24:]))
		mine := r.hashesBetween(low, high)
		sum := uint64(0)
		for _, h := range mine {
			sum ^= h
		}
		switch {
		case low > high || sum == xor && len(mine) == count:
		case len(mine)+count <= maxListedHashes || high-low < rangeFanout:
			msg := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64([]byte{messageHashes}, low), high)
			if len(mine) == 0 {
				r.emit(Send{from, msg}) // an empty list asks for all
			}
			r.sendHashes(from, msg, mine)
		default:
			step := (high-low)/rangeFanout + 1
			for at := low; ; at += step {
				end := high
				if high-at >= step {
					end = at + step - 1
				}
				if len(parts)+rangeBytes > maxMessageBytes {
					r.emit(Send{from, parts})
					parts = []byte{messageRanges}
				}
				parts = r.appendRange(parts, at, end)
				if end == high {
					break
				}
			}
		}
	}
	if len(parts) > 1 {
		r.emit(Send{from, parts})
	}
}

func (r *Replica) compareHashes(from int, body []byte) {
	low, high := binary.LittleEndian.Uint64(body), binary.LittleEndian.Uint64(body[8:])
	theirs := map[uint64]bool{}
	var want []uint64
	for body = body[16:]; len(body) > 0; body = body[8:] {
		h := binary.LittleEndian.Uint64(body)
		theirs[h] = true
		if r.byHash[h] == nil {
			want = append(want, h)
		}
	}
	var lacks []*Change
	for _, h := range r.hashesBetween(low, high) {
		if !theirs[h] {
			lacks = append(lacks, r.byHash[h])
		}
	}
	r.sendChanges(from, lacks)
	r.sendHashes(from, []byte{messageWanted}, want)
}
