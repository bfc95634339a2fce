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
	msgRanges  = 'R'
	msgList    = 'L'
	msgWant    = 'W'
	msgChanges = 'C'

	rangeBytes = 28
)

func sprint(format string, args ...any) string { return fmt.Sprintf(format, args...) }

// between are the hashes from low to high.
func (b *Book) between(low, high uint64) []uint64 {
	i, _ := slices.BinarySearch(b.sorted, low)
	j, found := slices.BinarySearch(b.sorted, high)
	if found {
		j++
	}
	return b.sorted[i:max(i, j)]
}

func (b *Book) appendRange(msg []byte, low, high uint64) []byte {
	xor := uint64(0)
	hs := b.between(low, high)
	for _, h := range hs {
		xor ^= h
	}
	msg = binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(msg, low), high)
	msg = binary.LittleEndian.AppendUint64(msg, xor)
	return binary.LittleEndian.AppendUint32(msg, uint32(len(hs)))
}

// compare begins a comparison with another gateway.
func (b *Book) compare(to int) {
	b.do(Send{to, b.appendRange([]byte{msgRanges}, 0, math.MaxUint64)})
}

// push tells changes to a few gateways, each of which passes on what is new to it.
func (b *Book) push(cs []*Change, but int) {
	n := b.s.Gateways
	if n < 2 {
		return
	}
	told := 0
	for _, to := range b.rng.Perm(n) {
		if to == b.s.Rank || to == but {
			continue
		}
		if told++; told > pushTo {
			break
		}
		b.send(to, cs)
	}
}

func (b *Book) send(to int, cs []*Change) {
	msg := []byte{msgChanges}
	for _, c := range cs {
		raw := c.Append(nil)
		if len(msg) > 1 && len(msg)+len(raw) > maxBytes {
			b.do(Send{to, msg})
			msg = []byte{msgChanges}
		}
		msg = append(msg, raw...)
	}
	if len(msg) > 1 {
		b.do(Send{to, msg})
	}
}

func (b *Book) sendHashes(to int, msg []byte, hs []uint64) {
	head := len(msg)
	for _, h := range hs {
		if len(msg)+8 > maxBytes {
			b.do(Send{to, slices.Clone(msg)})
			msg = msg[:head]
		}
		msg = binary.LittleEndian.AppendUint64(msg, h)
	}
	if len(msg) > head {
		b.do(Send{to, msg})
	}
}

// heard takes a message. What is malformed is dropped: it passed the peers' keyed hash, so it is a fault of a
// gateway, not an attack, and the next beat repeats what matters.
func (b *Book) heard(e Heard) {
	if e.From < 0 || e.From >= b.s.Gateways || e.From == b.s.Rank || len(e.Data) == 0 {
		return
	}
	body := e.Data[1:]
	switch e.Data[0] {
	case msgRanges:
		if len(body)%rangeBytes == 0 {
			b.ranges(e.From, body)
		}
	case msgList:
		if len(body) >= 16 && len(body)%8 == 0 {
			b.list(e.From, body)
		}
	case msgWant:
		var cs []*Change
		for ; len(body) >= 8; body = body[8:] {
			if c := b.hashes[binary.LittleEndian.Uint64(body)]; c != nil {
				cs = append(cs, c)
			}
		}
		b.send(e.From, cs)
	case msgChanges:
		var news []*Change
		for len(body) > 0 {
			c, rest, err := ParseChange(body)
			if err != nil {
				break
			}
			body = rest
			if b.insert(c) {
				b.do(Keep{c, false})
				news = append(news, &c)
			}
		}
		if len(news) > 0 {
			b.push(news, e.From)
		}
	}
}

func (b *Book) ranges(from int, body []byte) {
	parts := []byte{msgRanges}
	for ; len(body) > 0; body = body[rangeBytes:] {
		low, high := binary.LittleEndian.Uint64(body), binary.LittleEndian.Uint64(body[8:])
		xor, count := binary.LittleEndian.Uint64(body[16:]), int(binary.LittleEndian.Uint32(body[24:]))
		mine := b.between(low, high)
		sum := uint64(0)
		for _, h := range mine {
			sum ^= h
		}
		switch {
		case low > high || sum == xor && len(mine) == count:
		case len(mine)+count <= listed || high-low < splitTo:
			msg := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64([]byte{msgList}, low), high)
			if len(mine) == 0 {
				b.do(Send{from, msg}) // an empty list asks for all
			}
			b.sendHashes(from, msg, mine)
		default:
			step := (high-low)/splitTo + 1
			for at := low; ; at += step {
				end := high
				if high-at >= step {
					end = at + step - 1
				}
				if len(parts)+rangeBytes > maxBytes {
					b.do(Send{from, parts})
					parts = []byte{msgRanges}
				}
				parts = b.appendRange(parts, at, end)
				if end == high {
					break
				}
			}
		}
	}
	if len(parts) > 1 {
		b.do(Send{from, parts})
	}
}

func (b *Book) list(from int, body []byte) {
	low, high := binary.LittleEndian.Uint64(body), binary.LittleEndian.Uint64(body[8:])
	theirs := map[uint64]bool{}
	var want []uint64
	for body = body[16:]; len(body) > 0; body = body[8:] {
		h := binary.LittleEndian.Uint64(body)
		theirs[h] = true
		if b.hashes[h] == nil {
			want = append(want, h)
		}
	}
	var lacks []*Change
	for _, h := range b.between(low, high) {
		if !theirs[h] {
			lacks = append(lacks, b.hashes[h])
		}
	}
	b.send(from, lacks)
	b.sendHashes(from, []byte{msgWant}, want)
}
