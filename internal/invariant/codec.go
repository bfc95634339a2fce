package invariant

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// recordBufferBytes is the size of the buffers through which a file of records is written and read.
const recordBufferBytes = 64 << 10

// writeRecord writes a record as a line of JSON. The keys and the values of Kind are those of stored files.
func writeRecord(w io.Writer, r Record) error {
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = w.Write(append(line, '\n'))
	return err
}

// ReadRecords reads what a Log wrote. With an error it returns the records before it; the error wraps
// io.ErrUnexpectedEOF if the last record was cut off.
func ReadRecords(r io.Reader) ([]Record, error) {
	var records []Record
	decoder := json.NewDecoder(bufio.NewReaderSize(r, recordBufferBytes))
	for {
		var record Record
		err := decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return records, fmt.Errorf("invariant: record %d: %w", len(records)+1, err)
		}
		records = append(records, record)
	}
}
