package invariant

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// recordBufferBytes is the size of the buffers for writing and reading a file of records.
const recordBufferBytes = 64 << 10

// writeRecord writes a record as one line of JSON. The JSON keys and the values of Kind must not change,
// because files of earlier runs contain them.
func writeRecord(w io.Writer, r Record) error {
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = w.Write(append(line, '\n'))
	return err
}

// ReadRecords reads the records that a Log wrote. If it returns an error, it also returns the records before
// the error. The error wraps io.ErrUnexpectedEOF if the last record is truncated.
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
			return records, fmt.Errorf("invariant: read record %d: %w", len(records)+1, err)
		}
		records = append(records, record)
	}
}
