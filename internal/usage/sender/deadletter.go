package sender

import (
	"errors"
	"fmt"
	"os"

	"winghatch/internal/usage/outbox"
)

// storeDeadLetter writes an event where an operator finds it, before it is acknowledged. If the acknowledgement is lost
// the event comes twice, with the same key.
func (s *Sender) storeDeadLetter(action outbox.StoreDeadLetter) outbox.DeliveryEvent {
	file := s.options.DeadLetterFile
	if err := appendLine(file, action.Event.JSON, s.options.MaxDeadLetterBytes); err != nil {
		return outbox.DeadLetterStored{Failure: err.Error()}
	}
	s.options.LogError("The usage receiver does not accept an event, stored as a dead letter", "file", file,
		"record", action.Event.Record, "reason", action.Reason)
	return outbox.DeadLetterStored{}
}

// appendLine appends a line to a file, durably, if the file stays below maxBytes.
func appendLine(name string, line []byte, maxBytes int64) error {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	info, err := f.Stat()
	if err == nil && info.Size()+int64(len(line)) >= maxBytes {
		err = fmt.Errorf("%s: %d bytes, %d at most: move it away", name, info.Size(), maxBytes)
	}
	if err == nil {
		_, err = f.Write(append(line, '\n'))
	}
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}
