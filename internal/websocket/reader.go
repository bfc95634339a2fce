package websocket

import (
	"bufio"
	"errors"
	"io"
)

const (
	// minReadStepBytes is the least number of bytes by which the buffer of a message grows at a time. A header that
	// announces a large frame must not allocate memory for it before the bytes arrive.
	minReadStepBytes = 4 << 10

	// maxKeptBufferBytes is the capacity in bytes of the largest buffer that is kept between messages, so
	// that an idle session does not hold the memory of its largest message.
	maxKeptBufferBytes = 4 << 10
)

// Message is a complete message or a control frame.
type Message struct {
	// Opcode is Text or Binary for a message, and Close, Ping or Pong for a control frame.
	Opcode Opcode
	// Data is the unmasked payload. It is valid until the next call of Reader.Next.
	Data []byte
}

// Reader reads the messages of a connection. It is not safe for concurrent use.
type Reader struct {
	in         *bufio.Reader
	role       Role
	maxMessage int64                   // maximum size of a message in bytes
	maxFrame   int64                   // maximum payload size of a data frame in bytes
	buf        []byte                  // payload read so far of the current message
	control    [maxControlPayload]byte // payload of the last control frame
	opcode     Opcode                  // opcode of the current message
	inMessage  bool                    // whether the current message is incomplete
	validator  utf8Validator           // state of the current message if it is a text message
	memory     Memory                  // limit on buf; nil: none
	reserved   int64                   // bytes reserved in memory
	closed     bool                    // whether Next has returned a close frame or an error
}

// Memory limits the memory of many readers together.
type Memory interface {
	// Reserve reserves bytes and reports whether they were available.
	Reserve(bytes int64) bool
	// Release gives back reserved bytes.
	Release(bytes int64)
}

// NewReader returns a Reader for the side of the connection that has the given role. A message of more than
// maxMessage bytes is rejected with CodeTooBig before the payload of the frame that exceeds the limit is
// read.
func NewReader(in *bufio.Reader, role Role, maxMessage int64) *Reader {
	return &Reader{in: in, role: role, maxMessage: maxMessage, maxFrame: maxMessage}
}

// LimitFrames sets the maximum payload size of a data frame in bytes. Larger frames are rejected with
// CodeTooBig. Without this call, or if maxFrame is larger, the limit is that of a message. RFC 6455,
// section 10.4, recommends limits for both frames and messages.
func (r *Reader) LimitFrames(maxFrame int64) { r.maxFrame = min(maxFrame, r.maxMessage) }

// LimitMemory makes the reader reserve the memory of messages of more than maxKeptBufferBytes. A message for which
// there is no memory is rejected with CodeTryAgain. The memory is released by the call of Next that follows.
func (r *Reader) LimitMemory(m Memory) { r.memory = m }

// Next returns the next message or control frame. The error is a *ProtocolError, io.ErrUnexpectedEOF if the
// connection ended within a frame or message, io.EOF if it ended elsewhere, or another error of the
// connection. After it has returned a close frame or an error, all further calls return io.EOF.
func (r *Reader) Next() (Message, error) {
	if r.closed {
		return Message{}, io.EOF
	}
	m, err := r.readMessage()
	if err != nil || m.Opcode == Close {
		r.closed = true
		r.inMessage = false
		r.releaseLargeBuffer()
	}
	return m, err
}

func (r *Reader) readMessage() (Message, error) {
	if !r.inMessage {
		r.releaseLargeBuffer()
	}
	for {
		h, err := r.readFrameHeader()
		if err != nil {
			return Message{}, err
		}
		if h.opcode.IsControl() {
			return r.readControl(h)
		}
		done, err := r.readFragment(h)
		if err != nil {
			return Message{}, err
		}
		if done {
			return Message{r.opcode, r.buf}, nil
		}
	}
}

func (r *Reader) readControl(h frameHeader) (Message, error) {
	data := r.control[:h.length]
	if err := r.readFull(data); err != nil {
		return Message{}, err
	}
	if h.masked {
		applyMask(data, h.mask, 0)
	}
	if h.opcode == Close {
		if err := validateClose(data); err != nil {
			return Message{}, err
		}
	}
	return Message{h.opcode, data}, nil
}

// releaseLargeBuffer resets the buffer of the last message, and releases it if it is larger than
// maxKeptBufferBytes.
func (r *Reader) releaseLargeBuffer() {
	if cap(r.buf) > maxKeptBufferBytes {
		r.buf = nil
	}
	r.buf = r.buf[:0]
	if r.reserved > 0 {
		r.memory.Release(r.reserved)
		r.reserved = 0
	}
}

// grow extends the buffer by n bytes. Its capacity at least doubles where it has to grow, up to the largest message.
func (r *Reader) grow(n int) error {
	size := len(r.buf) + n
	if size <= cap(r.buf) {
		r.buf = r.buf[:size]
		return nil
	}
	capacity := max(size, min(2*cap(r.buf), int(r.maxMessage)))
	if missing := int64(capacity) - r.reserved; r.memory != nil && capacity > maxKeptBufferBytes {
		if !r.memory.Reserve(missing) {
			return protocolErrorf(CodeTryAgain, "no memory for a message of more than %d bytes", len(r.buf))
		}
		r.reserved += missing
	}
	larger := make([]byte, size, capacity)
	copy(larger, r.buf)
	r.buf = larger
	return nil
}

// readFragment reads the payload of a data frame into the buffer. done reports whether the message is
// complete.
func (r *Reader) readFragment(h frameHeader) (done bool, err error) {
	if err := r.beginFragment(h); err != nil {
		return false, err
	}
	if err := r.readPayload(h); err != nil {
		return false, err
	}
	if !h.fin {
		return false, nil
	}
	r.inMessage = false
	if r.opcode == Text && !r.validator.complete() {
		return false, protocolErrorf(CodeInvalidData, "text that ends inside a character")
	}
	return true, nil
}

// beginFragment returns a *ProtocolError if a data frame is not allowed at this point or exceeds a limit.
// It starts a new message if the frame is the first one of it.
func (r *Reader) beginFragment(h frameHeader) error {
	switch {
	case h.opcode == Continuation && !r.inMessage:
		return protocolErrorf(CodeProtocol, "continuation frame outside a message")
	case h.opcode != Continuation && r.inMessage:
		return protocolErrorf(CodeProtocol, "a new message inside a fragmented one")
	}
	if !r.inMessage {
		r.opcode, r.inMessage, r.validator = h.opcode, true, utf8Validator{}
	}
	if h.length > r.maxFrame {
		return protocolErrorf(CodeTooBig, "frame of more than %d bytes", r.maxFrame)
	}
	if int64(len(r.buf))+h.length > r.maxMessage {
		return protocolErrorf(CodeTooBig, "message of more than %d bytes", r.maxMessage)
	}
	return nil
}

// readPayload appends the unmasked payload of a data frame to the buffer. Text is validated as it arrives.
func (r *Reader) readPayload(h frameHeader) error {
	maskOffset := 0
	for remaining := h.length; remaining > 0; {
		start := len(r.buf)
		n := int(min(remaining, int64(max(minReadStepBytes, start))))
		if err := r.grow(n); err != nil {
			return err
		}
		part := r.buf[start:]
		if err := r.readFull(part); err != nil {
			return err
		}
		if h.masked {
			maskOffset = applyMask(part, h.mask, maskOffset)
		}
		if r.opcode == Text && !r.validator.feed(part) {
			return protocolErrorf(CodeInvalidData, "text that is not UTF-8")
		}
		remaining -= int64(n)
	}
	return nil
}

// readFull reads len(p) bytes into p. If the connection ends first, it returns io.ErrUnexpectedEOF.
func (r *Reader) readFull(p []byte) error {
	if _, err := io.ReadFull(r.in, p); err != nil {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	return nil
}
