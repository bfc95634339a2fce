package gossip

import (
	"bytes"
	"encoding/binary"

	"winghatch/internal/credentials"
)

// Layout of a datagram with the offset and the length of each field in bytes. Integers are big-endian.
//
//	 0  4  magic
//	 4  8  first bytes of the hash of the fleet's name
//	12  2  rank of the sender
//	14  2  rank of the receiver
//	16  8  epoch: start of the sender's incarnation, Unix time in nanoseconds
//	24  8  sequence number of the datagram among those of this incarnation to this receiver, from 1
//	32  n  text, at most maxTextLen
//	    32 keyed hash of all preceding bytes
const (
	magic      = "WHP1"
	headerLen  = 4 + 8 + 2 + 2 + 8 + 8 // sum of the fields before the text
	hashLen    = 32
	maxTextLen = 1200 // keeps a datagram below 1,500 bytes, the usual MTU
)

// datagramHeader holds the fields of a datagram between the magic and the text.
type datagramHeader struct {
	fleet    [8]byte
	from, to int // ranks of the sender and the receiver
	epoch    uint64
	sequence uint64
}

// appendDatagram appends an encoded datagram, authenticated with the keyed hash, to dst and returns the
// result.
func appendDatagram(dst []byte, h datagramHeader, text string, hash credentials.Hasher) []byte {
	start := len(dst)
	dst = append(dst, magic...)
	dst = append(dst, h.fleet[:]...)
	dst = binary.BigEndian.AppendUint16(dst, uint16(h.from))
	dst = binary.BigEndian.AppendUint16(dst, uint16(h.to))
	dst = binary.BigEndian.AppendUint64(dst, h.epoch)
	dst = binary.BigEndian.AppendUint64(dst, h.sequence)
	dst = append(dst, text...)
	sum := hash.Sum(dst[start:])
	return append(dst, sum[:]...)
}

// parseDatagram decodes a datagram. It returns false if the datagram is malformed or its keyed hash is wrong.
// The hash covers the header, so that none of its fields can be forged.
func parseDatagram(b []byte, hash credentials.Hasher) (h datagramHeader, text string, ok bool) {
	if len(b) < headerLen+hashLen || len(b) > headerLen+maxTextLen+hashLen ||
		!bytes.HasPrefix(b, []byte(magic)) {
		return h, "", false
	}
	body := b[:len(b)-hashLen]
	if sum := hash.Sum(body); !credentials.Equal(sum[:], b[len(body):]) {
		return h, "", false
	}
	copy(h.fleet[:], body[4:])
	h.from = int(binary.BigEndian.Uint16(body[12:]))
	h.to = int(binary.BigEndian.Uint16(body[14:]))
	h.epoch = binary.BigEndian.Uint64(body[16:])
	h.sequence = binary.BigEndian.Uint64(body[24:])
	return h, string(body[headerLen:]), true
}
