package sender

import (
	"errors"
	"fmt"
	"os"

	"winghatch/internal/usage/outbox"
)

// storeDeadLetter appends an event that the receiver rejected to the dead-letter file for an operator, before
// the event is acknowledged. If the acknowledgement is lost, the event is stored again with the same key.
func (s *Sender) storeDeadLetter(action outbox.StoreDeadLetter) outbox.DeliveryEvent {
	file := s.options.DeadLetterFile
	if err := appendLine(file, action.Event.JSON, s.options.MaxDeadLetterBytes); err != nil {
		return outbox.DeadLetterStored{Failure: err.Error()}
	}
	s.options.LogError("Usage receiver rejected an event, stored as dead letter", "file", file,
		"record", action.Event.Record, "reason", action.Reason)
	return outbox.DeadLetterStored{}
}

// appendLine appends a line to a file and syncs it. It returns an error if the file would reach maxBytes.
func appendLine(path string, line []byte, maxBytes int64) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	info, err := f.Stat()
	if err == nil && info.Size()+int64(len(line)) >= maxBytes {
		err = fmt.Errorf("sender: dead-letter file %s has %d bytes, limit is %d: move it away",
			path, info.Size(), maxBytes)
	}
	if err == nil {
		_, err = f.Write(append(line, '\n'))
	}
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}
