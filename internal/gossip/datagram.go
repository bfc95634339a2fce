package gossip

import (
	"bytes"
	"encoding/binary"

	"winghatch/internal/credentials"
)

// Layout of a datagram, in bytes. Integers are big-endian.
//
//	 0  4  magic
//	 4  8  hash of the fleet's name
//	12  2  rank of the sender
//	14  2  rank of the receiver
//	16  8  epoch: start of the sender's incarnation, Unix time in nanoseconds
//	24  8  sequence number of the datagrams of this incarnation to this receiver, from 1
//	32  n  text, at most maxTextLen
//	    32 keyed hash of all before it
const (
	magic      = "WHP1"
	headerLen  = 4 + 8 + 2 + 2 + 8 + 8 // the fields in the order above
	hashLen    = 32
	maxTextLen = 1200 // a datagram stays under 1,500 bytes, the usual MTU
)

type datagramHeader struct {
	fleet    [8]byte
	from, to int // ranks
	epoch    uint64
	sequence uint64
}

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

// parseDatagram checks the form and the hash. The hash covers the header, so that no field of it can be forged.
func parseDatagram(b []byte, hash credentials.Hasher) (h datagramHeader, text string, ok bool) {
	if len(b) < headerLen+hashLen || len(b) > headerLen+maxTextLen+hashLen || !bytes.HasPrefix(b, []byte(magic)) {
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
